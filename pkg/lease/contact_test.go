package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/state"
)

// Guards against an instance that counts as in touch although it has not taken over what
// the leader told, and so may have missed the removal of a key.
func TestOnlyRepliesThatAreTakenOverCountAsRenewals(t *testing.T) {
	table := func(from, to uint64) *routing.TableDelta { return &routing.TableDelta{From: from, To: to} }
	for name, c := range map[string]struct {
		reply wire.RenewalReply
		want  bool
	}{
		"nothing changed":                   {wire.RenewalReply{}, true},
		"change":                            {wire.RenewalReply{Delta: &state.Delta{From: 5, To: 6, Table: table(1, 2)}}, true},
		"full state":                        {wire.RenewalReply{Delta: &state.Delta{To: 6, Table: table(0, 2)}}, true},
		"older state than held":             {wire.RenewalReply{Delta: &state.Delta{To: 4, Table: table(0, 1)}}, true},
		"change of another state":           {wire.RenewalReply{Delta: &state.Delta{From: 4, To: 6}}, false},
		"change of another table":           {wire.RenewalReply{Delta: &state.Delta{From: 5, To: 6, Table: table(3, 4)}}, false},
		"renewal that may be a delayed one": {wire.RenewalReply{Challenge: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHolder(model.Instance{ID: "e"}, "boot", time.Second, time.Second)
			h.nextRenewal(0)
			h.applyReply(time.Millisecond, 0, &wire.RenewalReply{Sequence: 1, Delta: &state.Delta{To: 5, Table: table(0, 1)}})
			h.nextRenewal(2 * time.Millisecond)
			c.reply.Sequence = 2
			h.applyReply(3*time.Millisecond, 2*time.Millisecond, &c.reply)
			NewWithT(t).Expect(h.isCurrent(&c.reply)).To(Equal(c.want))
		})
	}
}

func TestAgeOfARenewalCountsFromWhenItWasSent(t *testing.T) {
	g := NewWithT(t)
	m := Module{lastRenewal: &lastRenewal{now: func() time.Duration { return 3 * time.Second }}}
	m.lastRenewal.recordSuccess(time.Second)
	m.lastRenewal.recordEnd(2 * time.Second)
	g.Expect(m.SinceRenewal()).To(Equal(2 * time.Second))
	g.Expect(m.SinceAttempt()).To(Equal(time.Second))
}
