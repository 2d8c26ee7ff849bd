//go:build proofs

package proofs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/adminapi"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
)

const (
	rulesPath = "/admin/v1/rules"
	// historyOperators change the rules changesPerOperator times each; the
	// number of accepted changes stays within the history that control keeps.
	historyOperators   = 5
	changesPerOperator = 50
	// maxChangeInterval is the maximum time between two changes of one operator.
	maxChangeInterval = 400 * time.Millisecond
	// historyOrders is the number of orders, each with its own key. callersPerKey
	// callers place each order at about the same time; each caller sends it until it
	// is told that the order ran, at most sendsPerCaller times.
	historyOrders  = 170
	callersPerKey  = 2
	sendsPerCaller = 3
	// maxOrderInterval is the maximum pause of a caller before it places an order.
	maxOrderInterval = 500 * time.Millisecond
)

// recorder collects the operations of concurrent clients with their call and
// return times.
type recorder struct {
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	counts     map[string]int
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), counts: make(map[string]int)}
}

func (r *recorder) now() int64 { return int64(time.Since(r.started)) }

// add records an operation that has just returned, and counts it by kind.
func (r *recorder) add(kind string, client int, callTime int64, input, output any) {
	op := porcupine.Operation{ClientId: client, Input: input, Output: output, Call: callTime, Return: r.now()}
	if isPending(output) {
		op.Return = pendingReturn
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, op)
	r.counts[kind]++
}

// expectLinearizable fails the spec and prints the history unless it is
// linearizable under the model.
func (r *recorder) expectLinearizable(m porcupine.Model) {
	GinkgoHelper()
	took := r.now()
	verdict := checkHistory(m, r.operations)
	AddReportEntry("history", fmt.Sprintf("seed %d: %d operations in %.1f s, %v; checked in %.1f s: %s", seed(),
		len(r.operations), time.Duration(took).Seconds(), r.counts, time.Duration(r.now()-took).Seconds(), verdict))
	if verdict != porcupine.Ok {
		for _, op := range r.operations {
			GinkgoWriter.Printf("%d [%d, %d] %+v -> %+v\n", op.ClientId, op.Call, op.Return, op.Input, op.Output)
		}
	}
	Expect(verdict).To(Equal(porcupine.Ok))
}

// adminOutcome maps an error of the admin API to the outcome that it proves.
func adminOutcome(err error) outcome {
	var stated *failure.Error
	switch {
	case err == nil:
		return outcomeDone
	case !errors.As(err, &stated):
		return outcomeUnknown
	case stated.Code == failure.Conflict:
		return outcomeConflict
	case stated.Ran == failure.NotRun:
		return outcomeNotRun
	}
	return outcomeUnknown
}

// historyOperator is one client that reads and changes the rules.
type historyOperator struct {
	client   *adminClient
	recorder *recorder
	id       int
	random   *rand.Rand
}

// randomInstance returns the number of a random instance.
func (o *historyOperator) randomInstance() int { return 1 + o.random.IntN(instances) }

// read reads the newest rules. A failed read is not recorded, since it proves nothing.
func (o *historyOperator) read(n int) (*control.Change, bool) {
	callTime := o.recorder.now()
	newest := new(control.Change)
	if err := o.client.call(n, http.MethodGet, rulesPath, nil, newest); err != nil {
		return nil, false
	}
	o.recorder.add("read", o.id, callTime, rulesCall{read: true}, rulesAnswer{outcomeDone, newest.Revision, newest.Hash})
	return newest, true
}

func (o *historyOperator) apply(n int, request adminapi.ApplyRequest) {
	callTime := o.recorder.now()
	accepted := new(control.Change)
	answer := rulesAnswer{outcome: adminOutcome(o.client.call(n, http.MethodPost, rulesPath, request, accepted))}
	answer.revision, answer.hash = accepted.Revision, accepted.Hash
	hash := sha256.Sum256([]byte(request.Text))
	call := rulesCall{base: request.Base, hash: hex.EncodeToString(hash[:])}
	o.recorder.add("change "+string(answer.outcome), o.id, callTime, call, answer)
}

// run changes the rules repeatedly, and sends about half of the changes twice.
func (o *historyOperator) run() {
	for i := range changesPerOperator {
		time.Sleep(time.Duration(o.random.Int64N(int64(maxChangeInterval))))
		newest, ok := o.read(o.randomInstance())
		if !ok {
			continue
		}
		text := fmt.Sprintf("limit caller village %d/s # change %d of operator %d\n", 1+i, i, o.id)
		request := adminapi.ApplyRequest{Base: newest.Revision, Text: text}
		for range 1 + o.random.IntN(2) {
			o.apply(o.randomInstance(), request)
		}
	}
}

// withFaults runs work while instances are killed, frozen and cut off.
func (f *fleet) withFaults(seed uint64, work func()) {
	ctx, stop := context.WithCancel(context.Background())
	var injector sync.WaitGroup
	injector.Go(func() { f.injectFaults(ctx, seed) })
	defer injector.Wait()
	defer stop()
	work()
}

func (f *fleet) runOperators(r *recorder, seed uint64) {
	var wait sync.WaitGroup
	for id := range historyOperators {
		o := &historyOperator{f.adminClient("operator"), r, id, rand.New(rand.NewPCG(seed, uint64(id)+200))}
		wait.Go(func() {
			defer GinkgoRecover()
			o.run()
		})
	}
	wait.Wait()
}

// readEverywhere reads the rules once through each instance, after the faults.
func (f *fleet) readEverywhere(r *recorder) {
	GinkgoHelper()
	o := &historyOperator{client: f.adminClient("operator"), recorder: r, id: historyOperators}
	for _, n := range allInstances() {
		Eventually(func() bool {
			_, ok := o.read(n)
			return ok
		}, readyTimeout).Should(BeTrue())
	}
}

// orderAnswerFrom maps a reply to the outcome that it proves.
func orderAnswerFrom(r reply) orderAnswer {
	switch {
	case r.err == nil && r.status == http.StatusOK:
		return orderAnswer{outcomeDone, r.result.Confirmation, r.result.Repeated}
	case r.notRun():
		return orderAnswer{outcome: outcomeNotRun}
	}
	return orderAnswer{outcome: outcomeUnknown}
}

// placeConcurrently places each key from concurrent callers.
func (f *fleet) placeConcurrently(r *recorder, seed uint64) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for id := range orderCallers {
		random := rand.New(rand.NewPCG(seed, uint64(id)+300))
		wait.Go(func() {
			defer GinkgoRecover()
			for i := next.Add(1) - 1; i < historyOrders*callersPerKey; i = next.Add(1) - 1 {
				time.Sleep(time.Duration(random.Int64N(int64(maxOrderInterval))))
				f.placeRecorded(r, id, fmt.Sprintf("history-%d-%d", seed, i/callersPerKey), random)
			}
		})
	}
	wait.Wait()
}

// placeRecorded sends one order through random instances until it is confirmed,
// at most sendsPerCaller times.
func (f *fleet) placeRecorded(r *recorder, id int, key string, random *rand.Rand) {
	for range sendsPerCaller {
		callTime := r.now()
		response := f.order(1+random.IntN(instances), key)
		answer := orderAnswerFrom(response)
		r.add(response.historySummary(), id, callTime, key, answer)
		if answer.outcome == outcomeDone {
			return
		}
		time.Sleep(resendInterval)
	}
}

// confirmedKeys returns the keys whose run was confirmed to a caller.
func (r *recorder) confirmedKeys() map[string]bool {
	keys := make(map[string]bool)
	for _, op := range r.operations {
		if op.Output.(orderAnswer).outcome == outcomeDone {
			keys[op.Input.(string)] = true
		}
	}
	return keys
}

// historySummary is the kind under which the report counts the reply.
func (r reply) historySummary() string {
	if r.result.Repeated {
		return "repeated"
	}
	return r.summary()
}

var _ = Describe("Histories", func() {
	It("of changes and reads of the rules are linearizable under kills, freezes and cuts", func() {
		f := newFleet(seed())
		r := newRecorder()
		f.withFaults(seed(), func() { f.runOperators(r, seed()) })
		f.readEverywhere(r)
		r.expectLinearizable(rulesModel)
		Expect(r.counts["change done"]).To(BeNumerically(">", historyOperators*changesPerOperator/5))
	})

	It("of orders run each key at most once and repeat its confirmation under kills, freezes and cuts", func() {
		f := newFleet(seed())
		r := newRecorder()
		f.withFaults(seed(), func() { f.placeConcurrently(r, seed()) })
		r.expectLinearizable(orderModel)
		runs, confirmed := f.orderRuns(), r.confirmedKeys()
		for key, n := range runs {
			Expect(n).To(Equal(1), key)
		}
		for key := range confirmed {
			Expect(runs).To(HaveKey(key))
		}
		AddReportEntry("keys", fmt.Sprintf("%d keys, %d confirmed, %d ran", historyOrders, len(confirmed), len(runs)))
		Expect(len(confirmed)).To(BeNumerically(">", historyOrders/2))
	})
})
