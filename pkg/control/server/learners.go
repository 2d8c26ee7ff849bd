package server

import (
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/reconfig"
	"radishturn.example/radishturn/pkg/replica"
)

// learnerLog spaces the events about each learner that has not caught up.
type learnerLog map[replica.Member]*events.Recurrence

// observe writes the events that are due. waiting are the voters that wait for a learner
// that has caught up.
func (l learnerLog) observe(now time.Duration, status replica.Status, waiting []reconfig.VoterToReplace) {
	behind := make(map[replica.Member]bool, len(status.LearnerProgress))
	for _, p := range status.LearnerProgress {
		if p.CaughtUp {
			continue
		}
		behind[p.Member] = true
		if l[p.Member] == nil {
			l[p.Member] = &events.Recurrence{}
		}
		if r := l[p.Member]; r.Due(now, true) {
			events.Emit(events.LearnerBehind, p.Member, p.Index, status.LastIndex, receives(p), p.IdleMilliseconds,
				r.Lasted(now).Milliseconds(), waitingTexts(waiting))
		}
	}
	for m := range l {
		if !behind[m] {
			delete(l, m)
		}
	}
}

func receives(p replica.LearnerProgress) string {
	if p.ReceivesSnapshot {
		return "snapshot"
	}
	return "entries"
}

func waitingTexts(waiting []reconfig.VoterToReplace) []string {
	texts := []string{}
	for _, w := range waiting {
		texts = append(texts, w.Voter.String()+": "+w.Reason)
	}
	return texts
}
