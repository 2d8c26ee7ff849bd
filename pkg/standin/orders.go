package standin

import (
	"fmt"
	"sync"

	"radishturn.example/radishturn/pkg/model"
)

// OrderRun is one run of an order at a target.
type OrderRun struct {
	Target       model.TargetID  `json:"target"`
	Boot         model.BootID    `json:"boot"`
	Request      model.RequestID `json:"request"`
	Confirmation string          `json:"confirmation"`
}

// orderLog records every run of an order under its idempotency key. It outlives
// the targets' crashes.
type orderLog struct {
	sync.Mutex
	runs  map[string][]OrderRun
	count int
}

func newOrderLog() *orderLog { return &orderLog{runs: make(map[string][]OrderRun)} }

// record notes a run and returns its confirmation.
func (l *orderLog) record(key string, run OrderRun) string {
	l.Lock()
	defer l.Unlock()
	l.count++
	run.Confirmation = fmt.Sprintf("confirmation-%d", l.count)
	l.runs[key] = append(l.runs[key], run)
	return run.Confirmation
}

// OrderLog is the record of all runs, by idempotency key.
type OrderLog struct {
	Runs map[string][]OrderRun `json:"runs"`
}

func (l *orderLog) all() OrderLog {
	l.Lock()
	defer l.Unlock()
	runs := make(map[string][]OrderRun, len(l.runs))
	for key, list := range l.runs {
		runs[key] = list[:len(list):len(list)]
	}
	return OrderLog{Runs: runs}
}

// summary counts keys, runs and keys that ran more than once.
func (l *orderLog) summary() OrderSummary {
	l.Lock()
	defer l.Unlock()
	s := OrderSummary{Keys: len(l.runs), Runs: l.count}
	for _, list := range l.runs {
		if len(list) > 1 {
			s.RepeatedKeys++
		}
	}
	return s
}
