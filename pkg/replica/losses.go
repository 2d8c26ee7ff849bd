package replica

import (
	"math"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
)

// lossesSettleTime is how long the number of losses that the group tolerates has to stand
// before it is logged. It varies for a moment during an election or a change of members.
const lossesSettleTime = time.Second

// tolerance is how many losses of voters the group tolerates.
type tolerance struct {
	voters int
	// losses is the present number, and usual the one with all voters working.
	losses, usual int
}

// isLow reports whether fewer losses are tolerated than usual, or none although there is
// more than one voter.
func (t tolerance) isLow() bool { return t.losses < t.usual || t.losses <= 0 && t.voters > 1 }

// lossLog decides when a tolerance is logged: once it has stood for lossesSettleTime and
// differs from the one that was logged last. The zero value is that of a group whose
// tolerance is as usual.
type lossLog struct {
	current tolerance
	since   time.Duration
	logged  tolerance
	low     bool
}

// observe reports whether t is to be logged, and whether it is low.
func (l *lossLog) observe(now time.Duration, t tolerance) (due, low bool) {
	if t != l.current {
		l.current, l.since = t, now
	}
	if now-l.since < lossesSettleTime || t == l.logged {
		return false, false
	}
	due, low = t.isLow() || l.low, t.isLow()
	l.logged, l.low = t, low
	return due, low
}

// lossesTolerated returns the losses of voters that the group tolerates, as far as the
// leader knows, and nil at other members and before the first majority has answered.
func (n *Node) lossesTolerated(now time.Duration, s consensus.Status) *int {
	if s.Role != consensus.Leader || s.Applied < s.TermStart {
		return nil
	}
	losses := n.raft.LossesTolerated(now)
	return &losses
}

// reportLossesTolerated sets the metric, and writes events when the losses that the group
// tolerates change.
func (n *Node) reportLossesTolerated(now time.Duration, s consensus.Status) {
	losses := n.lossesTolerated(now, s)
	if losses == nil {
		n.metrics.lossesTolerated.Set(math.NaN())
		n.lossLog = lossLog{}
		return
	}
	n.metrics.lossesTolerated.Set(float64(*losses))
	t := tolerance{voters: len(s.Membership.Voters), losses: *losses, usual: s.Membership.LossesTolerated()}
	due, low := n.lossLog.observe(now, t)
	switch {
	case due && low:
		events.Emit(events.LossesToleratedFell, t.losses, t.usual, memberTexts(s.Membership.Voters),
			memberTexts(n.raft.SilentVoters(now)), len(s.Membership.Learners))
	case due:
		events.Emit(events.LossesToleratedUsual, t.losses, t.voters)
	}
}
