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
	// checkTimeout bounds the search of the checker; a search that times out
	// fails the spec.
	checkTimeout = 2 * time.Minute
	// pendingReturn is the return time of an operation whose outcome is unknown:
	// it may take effect at any time after its call, or never.
	pendingReturn = math.MaxInt64
)

// outcome is the result of an operation as its client knows it.
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

// rulesAnswer is the response to a rulesCall.
type rulesAnswer struct {
	outcome  outcome
	revision model.Revision
	hash     string
}

// rulesModel is a register with compare-and-set. The state holds the hash of
// each revision, the first at index 0; the last one is the register's value.
var rulesModel = porcupine.Model{
	Init:  func() any { return []string(nil) },
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	Step: func(state, input, output any) (bool, any) {
		hashes, in, out := state.([]string), input.(rulesCall), output.(rulesAnswer)
		if in.read {
			return readReturnsNewest(hashes, out), hashes
		}
		return stepChange(hashes, in, out)
	},
}

func readReturnsNewest(hashes []string, out rulesAnswer) bool {
	if out.revision != model.Revision(len(hashes)) {
		return false
	}
	return len(hashes) == 0 || out.hash == hashes[len(hashes)-1]
}

// stepChange applies the change if its base is the newest revision. An operation
// with an unknown outcome that never took effect can be linearized at the end of
// the history.
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

// orderAnswer is the response to an order.
type orderAnswer struct {
	outcome      outcome
	confirmation string
	repeated     bool
}

// orderState is the state of one idempotency key. The confirmation is empty if
// the order ran in an operation with an unknown outcome and no caller has got the
// confirmation yet.
type orderState struct {
	ran          bool
	confirmation string
}

// orderModel allows each key to run at most once. The input is the key.
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

// checkHistory returns the checker's verdict on a history.
func checkHistory(m porcupine.Model, history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(m, history, checkTimeout)
}

// sequentialHistory returns a history of operations that don't overlap, except
// that those with an unknown outcome stay pending.
func sequentialHistory(pairs ...[2]any) []porcupine.Operation {
	var history []porcupine.Operation
	for i, pair := range pairs {
		op := porcupine.Operation{Input: pair[0], Output: pair[1], Call: int64(10 * i), Return: int64(10*i + 5)}
		if isPending(pair[1]) {
			op.Return = pendingReturn
		}
		history = append(history, op)
	}
	return history
}

func isPending(output any) bool {
	switch out := output.(type) {
	case rulesAnswer:
		return out.outcome == outcomeUnknown
	case orderAnswer:
		return out.outcome == outcomeUnknown
	}
	return false
}

func readOperation(revision model.Revision, hash string) [2]any {
	return [2]any{rulesCall{read: true}, rulesAnswer{outcomeDone, revision, hash}}
}

func changeOperation(base model.Revision, hash string, out outcome, revision model.Revision) [2]any {
	return [2]any{rulesCall{base: base, hash: hash}, rulesAnswer{out, revision, hash}}
}

func orderOperation(out outcome, confirmation string, repeated bool) [2]any {
	return [2]any{"key", orderAnswer{out, confirmation, repeated}}
}

var _ = Describe("Histories: the checker", func() {
	DescribeTable("judges changes of the rules",
		func(expected porcupine.CheckResult, pairs ...[2]any) {
			Expect(checkHistory(rulesModel, sequentialHistory(pairs...))).To(Equal(expected))
		},
		Entry("change, read, resend, conflict", porcupine.Ok, readOperation(0, ""), changeOperation(0, "a", outcomeDone, 1), readOperation(1, "a"),
			changeOperation(0, "a", outcomeDone, 1), changeOperation(0, "b", outcomeConflict, 0)),
		Entry("a change with unknown outcome is seen later", porcupine.Ok, changeOperation(0, "a", outcomeUnknown, 0), readOperation(0, ""), readOperation(1, "a")),
		Entry("a change with unknown outcome is never seen", porcupine.Ok, changeOperation(0, "a", outcomeUnknown, 0), changeOperation(0, "b", outcomeDone, 1), readOperation(1, "b")),
		Entry("a read goes back", porcupine.Illegal, changeOperation(0, "a", outcomeDone, 1), readOperation(1, "a"), readOperation(0, "")),
		Entry("a read misses an accepted change", porcupine.Illegal, changeOperation(0, "a", outcomeDone, 1), readOperation(0, "")),
		Entry("two changes are accepted on one base", porcupine.Illegal, changeOperation(0, "a", outcomeDone, 1), changeOperation(0, "b", outcomeDone, 1)),
		Entry("an accepted change is replaced", porcupine.Illegal, changeOperation(0, "a", outcomeDone, 1), readOperation(1, "b")),
		Entry("a conflict without an accepted change", porcupine.Illegal, changeOperation(0, "a", outcomeConflict, 0)),
		Entry("a conflict with itself", porcupine.Illegal, changeOperation(0, "a", outcomeDone, 1), changeOperation(0, "a", outcomeConflict, 0)),
		Entry("a resend gets another revision", porcupine.Illegal, changeOperation(0, "a", outcomeDone, 1), changeOperation(0, "a", outcomeDone, 2)),
		Entry("a change that did not run is seen", porcupine.Illegal, changeOperation(0, "a", outcomeNotRun, 0), readOperation(1, "a")),
		Entry("a change with unknown outcome takes effect and is undone", porcupine.Illegal, changeOperation(0, "a", outcomeUnknown, 0), readOperation(1, "a"), readOperation(0, "")),
	)

	DescribeTable("judges orders",
		func(expected porcupine.CheckResult, pairs ...[2]any) {
			Expect(checkHistory(orderModel, sequentialHistory(pairs...))).To(Equal(expected))
		},
		Entry("not run, run, repeated", porcupine.Ok, orderOperation(outcomeNotRun, "", false), orderOperation(outcomeDone, "c", false), orderOperation(outcomeDone, "c", true)),
		Entry("an unknown order ran", porcupine.Ok, orderOperation(outcomeUnknown, "", false), orderOperation(outcomeDone, "c", true)),
		Entry("an unknown order did not run", porcupine.Ok, orderOperation(outcomeUnknown, "", false), orderOperation(outcomeNotRun, "", false), orderOperation(outcomeDone, "c", false)),
		Entry("it runs twice", porcupine.Illegal, orderOperation(outcomeDone, "c", false), orderOperation(outcomeDone, "c", false)),
		Entry("the confirmation changes", porcupine.Illegal, orderOperation(outcomeDone, "c", false), orderOperation(outcomeDone, "d", true)),
		Entry("not-run after it ran", porcupine.Illegal, orderOperation(outcomeDone, "c", false), orderOperation(outcomeNotRun, "", false)),
		Entry("repeated and never run", porcupine.Illegal, orderOperation(outcomeDone, "c", true)),
		Entry("not-run after an unknown order was confirmed", porcupine.Illegal,
			orderOperation(outcomeUnknown, "", false), orderOperation(outcomeDone, "c", true), orderOperation(outcomeNotRun, "", false)),
		Entry("an unknown order and a later one both run", porcupine.Illegal,
			orderOperation(outcomeUnknown, "", false), orderOperation(outcomeDone, "c", true), orderOperation(outcomeDone, "d", false)),
	)
})
