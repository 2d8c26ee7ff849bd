package standin

import (
	"fmt"
	"sync"

	"radishturn.example/radishturn/pkg/model"
)

// OrderRun is one execution of an order by a target.
type OrderRun struct {
	Target       model.TargetID  `json:"target"`
	Boot         model.BootID    `json:"boot"`
	Request      model.RequestID `json:"request"`
	Confirmation string          `json:"confirmation"`
}

// orderRecorder records every run of an order under its idempotency key. Its
// records survive crashes of targets.
type orderRecorder struct {
	sync.Mutex
	runs  map[string][]OrderRun
	count int
}

func newOrderRecorder() *orderRecorder { return &orderRecorder{runs: make(map[string][]OrderRun)} }

// record adds a run and returns its confirmation.
func (r *orderRecorder) record(key string, run OrderRun) string {
	r.Lock()
	defer r.Unlock()
	r.count++
	run.Confirmation = fmt.Sprintf("confirmation-%d", r.count)
	r.runs[key] = append(r.runs[key], run)
	return run.Confirmation
}

// OrderLog holds all runs of orders by idempotency key.
type OrderLog struct {
	Runs map[string][]OrderRun `json:"runs"`
}

func (r *orderRecorder) all() OrderLog {
	r.Lock()
	defer r.Unlock()
	runs := make(map[string][]OrderRun, len(r.runs))
	for key, list := range r.runs {
		runs[key] = list[:len(list):len(list)]
	}
	return OrderLog{Runs: runs}
}

// summary counts keys, runs and keys with more than one run.
func (r *orderRecorder) summary() OrderSummary {
	r.Lock()
	defer r.Unlock()
	s := OrderSummary{Keys: len(r.runs), Runs: r.count}
	for _, list := range r.runs {
		if len(list) > 1 {
			s.KeysWithMultipleRuns++
		}
	}
	return s
}
