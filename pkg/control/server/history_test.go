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
	historySeeds      = 8
	operators         = 5
	changesOfOperator = 12
	operatorPatience  = 4 * time.Second
)

// applied asks for a change; no call reads the newest one.
type applied struct {
	read bool
	base model.Revision
	text string
}

// outcome is what an operator heard.
type outcome struct {
	conflict bool
	revision model.Revision
	text     string
}

// rulesModel is a list of texts that grows only by changes on its newest entry.
var rulesModel = porcupine.Model{
	Init: func() any { return []string(nil) },
	Step: func(state, input, output any) (bool, any) {
		texts, in, out := state.([]string), input.(applied), output.(outcome)
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

// history records operations with the times of call and return.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// unknown are changes whose outcome was not heard.
	unknown []porcupine.Operation
}

func (h *history) record(client int, called time.Time, in applied, out outcome, err error) {
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

// settle adds those unknown changes that were accepted after all; they may
// have taken effect at any time until the end.
func (h *history) settle(accepted []control.Change) {
	for _, op := range h.unknown {
		in := op.Input.(applied)
		for _, c := range accepted {
			if c.Text == in.text {
				op.Output = outcome{revision: c.Revision}
				op.Return = math.MaxInt64
				h.operations = append(h.operations, op)
			}
		}
	}
}

// operate reads the newest rules and changes them, again and again.
func operate(fl *fleet, h *history, client int, r *rand.Rand) {
	for i := range changesOfOperator {
		at := fl.nodes[r.IntN(instanceCount)].server
		read := applied{read: true}
		called := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
		newest, err := at.Rules(ctx)
		cancel()
		if err != nil {
			continue
		}
		h.record(client, called, read, outcome{revision: newest.Revision, text: newest.Text}, nil)
		change := applied{base: newest.Revision, text: fmt.Sprintf("# change %d of operator %d\n", i, client)}
		for range 1 + r.IntN(2) {
			changeRules(fl, h, client, r.IntN(instanceCount), change)
		}
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
}

func changeRules(fl *fleet, h *history, client, at int, in applied) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	called := time.Now()
	var out outcome
	change, err := fl.nodes[at].server.ApplyRules(ctx, control.ApplyRequest{Base: in.base, Text: in.text, Author: fmt.Sprint(client)})
	if err == nil {
		out.revision = change.Revision
	}
	out.conflict = failure.CodeOf(err) == failure.Conflict && err != nil
	h.record(client, called, in, out, err)
}

func TestHistoriesOfChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inFleet(t, func(t *testing.T, fl *fleet) { checkHistory(t, fl, seed) })
		})
	}
}

func checkHistory(t *testing.T, fl *fleet, seed uint64) {
	time.Sleep(settle)
	fl.group.disturb(rand.New(rand.NewPCG(seed, 1)), 0)
	ctx, cancel := context.WithCancel(t.Context())
	go disturb(ctx, fl, rand.New(rand.NewPCG(seed, 2)))
	h := &history{}
	var running sync.WaitGroup
	for client := range operators {
		running.Go(func() { operate(fl, h, client, rand.New(rand.NewPCG(seed, uint64(10+client)))) })
	}
	running.Wait()
	cancel()
	fl.group.disturb(nil, 0)
	time.Sleep(settle)
	fl.heal()
	fl.group.elect(instanceID(0))
	time.Sleep(settle)
	accepted, err := fl.nodes[3].server.History(t.Context(), operators*changesOfOperator)
	if err != nil {
		t.Fatal(err)
	}
	h.settle(accepted)
	if !porcupine.CheckOperations(rulesModel, h.operations) {
		t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(h.operations))
	}
	t.Logf("seed %d: %d operations, %d unknown, %d changes accepted", seed, len(h.operations), len(h.unknown), len(accepted))
}
