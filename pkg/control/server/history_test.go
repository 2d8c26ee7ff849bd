package server_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
)

const (
	historySeeds       = 8
	operators          = 5
	changesPerOperator = 12
	operatorTimeout    = 4 * time.Second
)

// rulesInput is the input of an operation: a read of the newest change or, without
// read, a request for a change.
type rulesInput struct {
	read bool
	base model.Revision
	text string
}

// rulesOutput is the result that an operator received.
type rulesOutput struct {
	conflict bool
	revision model.Revision
	text     string
}

// rulesModel is a list of texts to which only a change based on the newest entry
// is appended.
var rulesModel = porcupine.Model{
	Init: func() any { return []string(nil) },
	Step: func(state, input, output any) (bool, any) {
		texts, in, out := state.([]string), input.(rulesInput), output.(rulesOutput)
		newest := model.Revision(len(texts))
		switch {
		case in.read:
			same := out.revision == newest && (newest == 0 || texts[newest-1] == out.text)
			return same, texts
		case out.conflict:
			return in.base != newest && (in.base > newest || texts[in.base] != in.text), texts
		case in.base == newest:
			return out.revision == newest+1, append(slices.Clone(texts), in.text)
		default:
			return in.base < newest && texts[in.base] == in.text && out.revision == in.base+1, texts
		}
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
}

// history records operations with their call and return times.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// unknown holds the changes whose outcome is unknown.
	unknown []porcupine.Operation
}

func (h *history) record(client int, called time.Time, in rulesInput, out rulesOutput, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Call: called.UnixNano(), Output: out, Return: time.Now().UnixNano()}
	switch {
	case err == nil, out.conflict:
		h.operations = append(h.operations, op)
	case failure.RanOf(err) != failure.NotRun:
		h.unknown = append(h.unknown, op)
	}
}

// addAccepted adds the unknown changes that were accepted. They may have taken
// effect at any time up to the end of the test.
func (h *history) addAccepted(accepted []control.Change) {
	for _, op := range h.unknown {
		in := op.Input.(rulesInput)
		for _, c := range accepted {
			if c.Text == in.text {
				op.Output = rulesOutput{revision: c.Revision}
				op.Return = math.MaxInt64
				h.operations = append(h.operations, op)
			}
		}
	}
}

// runOperator repeatedly reads the newest rules and changes them.
func runOperator(fl *fleet, h *history, client int, r *rand.Rand) {
	for i := range changesPerOperator {
		at := fl.instances[r.IntN(instanceCount)].server
		read := rulesInput{read: true}
		called := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		newest, err := at.Rules(ctx)
		cancel()
		if err != nil {
			continue
		}
		h.record(client, called, read, rulesOutput{revision: newest.Revision, text: newest.Text}, nil)
		change := rulesInput{base: newest.Revision, text: fmt.Sprintf("# change %d of operator %d\n", i, client)}
		for range 1 + r.IntN(2) {
			changeRules(fl, h, client, r.IntN(instanceCount), change)
		}
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
}

func changeRules(fl *fleet, h *history, client, at int, in rulesInput) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	called := time.Now()
	var out rulesOutput
	change, err := fl.instances[at].server.ApplyRules(ctx, control.ApplyRequest{Base: in.base, Text: in.text, Author: fmt.Sprint(client)})
	if err == nil {
		out.revision = change.Revision
	}
	out.conflict = failure.CodeOf(err) == failure.Conflict && err != nil
	h.record(client, called, in, out, err)
}

func TestHistoriesOfChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFleet(t, func(t *testing.T, fl *fleet) { checkHistory(t, fl, seed) })
		})
	}
}

func checkHistory(t *testing.T, fl *fleet, seed uint64) {
	time.Sleep(settleTime)
	fl.group.injectFaults(rand.New(rand.NewPCG(seed, 1)), 0)
	ctx, cancel := context.WithCancel(t.Context())
	go runFaults(ctx, fl, rand.New(rand.NewPCG(seed, 2)))
	h := &history{}
	var running sync.WaitGroup
	for client := range operators {
		running.Go(func() { runOperator(fl, h, client, rand.New(rand.NewPCG(seed, uint64(10+client)))) })
	}
	running.Wait()
	cancel()
	fl.group.injectFaults(nil, 0)
	time.Sleep(settleTime)
	fl.heal()
	fl.group.elect(instanceID(0))
	time.Sleep(settleTime)
	accepted, err := fl.instances[3].server.History(t.Context(), operators*changesPerOperator)
	if err != nil {
		t.Fatal(err)
	}
	h.addAccepted(accepted)
	if !porcupine.CheckOperations(rulesModel, h.operations) {
		t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(h.operations))
	}
	t.Logf("seed %d: %d operations, %d unknown, %d changes accepted", seed, len(h.operations), len(h.unknown), len(accepted))
}
