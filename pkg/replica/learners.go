package replica

import (
	"time"

	"radishturn.example/radishturn/pkg/consensus"
)

// learnerTracker records when the index of each learner last advanced.
type learnerTracker map[Member]advance

type advance struct {
	index uint64
	at    time.Duration
}

// observe records the progress of the present learners and returns it with the time since
// each last advanced.
func (t learnerTracker) observe(now time.Duration, learners []consensus.LearnerProgress) []LearnerProgress {
	present := make(map[Member]bool, len(learners))
	var all []LearnerProgress
	for _, l := range learners {
		present[l.Member] = true
		last, known := t[l.Member]
		if !known || l.Index != last.index {
			last = advance{index: l.Index, at: now}
			t[l.Member] = last
		}
		all = append(all, LearnerProgress{
			Member: l.Member, Index: l.Index, CaughtUp: l.CaughtUp, ReceivesSnapshot: l.ReceivesSnapshot,
			IdleMilliseconds: (now - last.at).Milliseconds(),
		})
	}
	for m := range t {
		if !present[m] {
			delete(t, m)
		}
	}
	return all
}
