//go:build proofs

package proofs

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// checkTimeout bounds the search of the checker; a search that does not end
	// fails the spec.
	checkTimeout = 2 * time.Minute
	// openReturn is the time of return of an operation whose outcome is unknown:
	// it may take effect at any time after its call, or never.
	openReturn = math.MaxInt64
)

// outcome says how an operation ended for its client.
type outcome string

const (
	outcomeDone     outcome = "done"
	outcomeConflict outcome = "conflict"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
)

// rulesCall is a read of the newest rules or a change of them.
type rulesCall struct {
	read bool
	base model.Revision
	hash string
}

// rulesAnswer is what an operator heard.
type rulesAnswer struct {
	outcome  outcome
	revision model.Revision
	hash     string
}

// rulesModel is a register with compare-and-set. The state holds the hash of
// each revision, the first at index 0; the newest is the content.
var rulesModel = porcupine.Model{
	Init:  func() any { return []string(nil) },
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	Step: func(state, input, output any) (bool, any) {
		hashes, in, out := state.([]string), input.(rulesCall), output.(rulesAnswer)
		if in.read {
			return readsNewest(hashes, out), hashes
		}
		return stepChange(hashes, in, out)
	},
}

func readsNewest(hashes []string, out rulesAnswer) bool {
	if out.revision != model.Revision(len(hashes)) {
		return false
	}
	return len(hashes) == 0 || out.hash == hashes[len(hashes)-1]
}

// stepChange takes effect if base is the newest revision. An operation with an
// unknown outcome that never took effect can stand at the end of the history.
func stepChange(hashes []string, in rulesCall, out rulesAnswer) (bool, []string) {
	newest := model.Revision(len(hashes))
	isNewest := in.base == newest
	isResend := in.base < newest && hashes[in.base] == in.hash
	next := hashes
	if isNewest {
		next = append(slices.Clone(hashes), in.hash)
	}
	switch out.outcome {
	case outcomeDone:
		return (isNewest || isResend) && out.revision == in.base+1 && out.hash == in.hash, next
	case outcomeConflict:
		return in.base < newest && !isResend, hashes
	case outcomeNotRun:
		return true, hashes
	default:
		return true, next
	}
}

// orderAnswer is what the caller of an order heard.
type orderAnswer struct {
	outcome      outcome
	confirmation string
	repeated     bool
}

// orderState is one idempotency key. The confirmation is empty while the order
// ran in an operation with an unknown outcome and nobody has heard it yet.
type orderState struct {
	ran          bool
	confirmation string
}

// orderModel runs each key at most once. The input is the key.
var orderModel = porcupine.Model{
	Init:      func() any { return orderState{} },
	Partition: partitionByKey,
	Step: func(state, _, output any) (bool, any) {
		return stepOrder(state.(orderState), output.(orderAnswer))
	},
}

func stepOrder(s orderState, out orderAnswer) (bool, orderState) {
	switch {
	case out.outcome == outcomeNotRun:
		return !s.ran, s
	case out.outcome == outcomeUnknown:
		return true, orderState{ran: true, confirmation: s.confirmation}
	case out.repeated:
		isSame := s.confirmation == "" || s.confirmation == out.confirmation
		return s.ran && isSame, orderState{ran: true, confirmation: out.confirmation}
	default:
		return !s.ran, orderState{ran: true, confirmation: out.confirmation}
	}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	index := make(map[string]int)
	var parts [][]porcupine.Operation
	for _, op := range history {
		key := op.Input.(string)
		if _, ok := index[key]; !ok {
			index[key] = len(parts)
			parts = append(parts, nil)
		}
		parts[index[key]] = append(parts[index[key]], op)
	}
	return parts
}

// check returns the checker's verdict on a history.
func check(m porcupine.Model, history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(m, history, checkTimeout)
}

// inSequence makes a history of operations one after the other; those with an
// unknown outcome stay open.
func inSequence(pairs ...[2]any) []porcupine.Operation {
	var history []porcupine.Operation
	for i, pair := range pairs {
		op := porcupine.Operation{Input: pair[0], Output: pair[1], Call: int64(10 * i), Return: int64(10*i + 5)}
		if isOpen(pair[1]) {
			op.Return = openReturn
		}
		history = append(history, op)
	}
	return history
}

func isOpen(output any) bool {
	switch out := output.(type) {
	case rulesAnswer:
		return out.outcome == outcomeUnknown
	case orderAnswer:
		return out.outcome == outcomeUnknown
	}
	return false
}

func read(revision model.Revision, hash string) [2]any {
	return [2]any{rulesCall{read: true}, rulesAnswer{outcomeDone, revision, hash}}
}

func change(base model.Revision, hash string, out outcome, revision model.Revision) [2]any {
	return [2]any{rulesCall{base: base, hash: hash}, rulesAnswer{out, revision, hash}}
}

func place(out outcome, confirmation string, repeated bool) [2]any {
	return [2]any{"key", orderAnswer{out, confirmation, repeated}}
}

var _ = Describe("Histories: the checker", func() {
	DescribeTable("judges changes of the rules",
		func(expected porcupine.CheckResult, pairs ...[2]any) {
			Expect(check(rulesModel, inSequence(pairs...))).To(Equal(expected))
		},
		Entry("change, read, resend, conflict", porcupine.Ok, read(0, ""), change(0, "a", outcomeDone, 1), read(1, "a"),
			change(0, "a", outcomeDone, 1), change(0, "b", outcomeConflict, 0)),
		Entry("an unknown change is seen later", porcupine.Ok, change(0, "a", outcomeUnknown, 0), read(0, ""), read(1, "a")),
		Entry("an unknown change is never seen", porcupine.Ok, change(0, "a", outcomeUnknown, 0), change(0, "b", outcomeDone, 1), read(1, "b")),
		Entry("a read goes back", porcupine.Illegal, change(0, "a", outcomeDone, 1), read(1, "a"), read(0, "")),
		Entry("a read misses an accepted change", porcupine.Illegal, change(0, "a", outcomeDone, 1), read(0, "")),
		Entry("two changes win one base", porcupine.Illegal, change(0, "a", outcomeDone, 1), change(0, "b", outcomeDone, 1)),
		Entry("an accepted change is replaced", porcupine.Illegal, change(0, "a", outcomeDone, 1), read(1, "b")),
		Entry("a conflict without a winner", porcupine.Illegal, change(0, "a", outcomeConflict, 0)),
		Entry("a conflict with itself", porcupine.Illegal, change(0, "a", outcomeDone, 1), change(0, "a", outcomeConflict, 0)),
		Entry("a resend gets another revision", porcupine.Illegal, change(0, "a", outcomeDone, 1), change(0, "a", outcomeDone, 2)),
		Entry("a change that did not run is seen", porcupine.Illegal, change(0, "a", outcomeNotRun, 0), read(1, "a")),
		Entry("an unknown change takes effect and is undone", porcupine.Illegal, change(0, "a", outcomeUnknown, 0), read(1, "a"), read(0, "")),
	)

	DescribeTable("judges orders",
		func(expected porcupine.CheckResult, pairs ...[2]any) {
			Expect(check(orderModel, inSequence(pairs...))).To(Equal(expected))
		},
		Entry("not run, run, repeated", porcupine.Ok, place(outcomeNotRun, "", false), place(outcomeDone, "c", false), place(outcomeDone, "c", true)),
		Entry("an unknown order ran", porcupine.Ok, place(outcomeUnknown, "", false), place(outcomeDone, "c", true)),
		Entry("an unknown order did not run", porcupine.Ok, place(outcomeUnknown, "", false), place(outcomeNotRun, "", false), place(outcomeDone, "c", false)),
		Entry("it runs twice", porcupine.Illegal, place(outcomeDone, "c", false), place(outcomeDone, "c", false)),
		Entry("the confirmation changes", porcupine.Illegal, place(outcomeDone, "c", false), place(outcomeDone, "d", true)),
		Entry("not-run after it ran", porcupine.Illegal, place(outcomeDone, "c", false), place(outcomeNotRun, "", false)),
		Entry("repeated and never run", porcupine.Illegal, place(outcomeDone, "c", true)),
		Entry("not-run after an unknown order was heard to have run", porcupine.Illegal,
			place(outcomeUnknown, "", false), place(outcomeDone, "c", true), place(outcomeNotRun, "", false)),
		Entry("an unknown order runs and another one too", porcupine.Illegal,
			place(outcomeUnknown, "", false), place(outcomeDone, "c", true), place(outcomeDone, "d", false)),
	)
})
