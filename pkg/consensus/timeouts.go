package consensus

import "time"

// RecordStep records that the driver's last step, such as a write to a slow disk, took
// this long. No message was received or sent meanwhile, and the other members, which
// write the same entries, are assumed to be as slow. Timeouts that wait for the others
// are therefore extended; without this, a group whose writes all take longer than an
// election timeout never keeps a leader. The leader lease is not extended.
func (r *Raft) RecordStep(now, took time.Duration) {
	if took <= r.cfg.Heartbeat {
		if now-r.stepEnd > r.cfg.ElectionTimeout+stepsPerExchange*r.stepTime {
			r.stepTime = 0
		}
		return
	}
	took = min(took, maxStepTimeouts*r.cfg.ElectionTimeout)
	r.stepTime, r.stepEnd = max(took, r.stepTime-r.stepTime/stepTimeDecay), now
	switch r.role {
	case Follower:
		r.waitForElection(now, max(r.electionDeadline-now, r.electionTimeout()))
	case PreCandidate, Candidate:
		// The time is added to the start of the wait: were it added to the deadline, steps
		// that follow each other would move the deadline further than they take.
		r.electionDeadline = max(r.electionDeadline, r.electionWaitUntil+stepsPerExchange*took)
	case Leader:
	}
}

// stepTimeDecay is the part of the longest step time that each shorter slow step takes off.
// The time of a sync varies, so the latest step alone says little about the next.
const stepTimeDecay = 16

// maxStepTimeouts is the greatest step time, in election timeouts, by which timeouts are
// extended. A longer step is rather a single stall, after which nobody should wait for a
// multiple of it.
const maxStepTimeouts = 10

// stepsPerExchange is how many steps an exchange takes at most: the one that the receiver is
// in, the one in which it answers, and the one that the sender is in by then.
const stepsPerExchange = 3

// Deadline returns when Tick is due next.
func (r *Raft) Deadline() time.Duration {
	if r.role == Leader {
		return r.nextHeartbeat
	}
	return r.electionDeadline
}

func (r *Raft) resetElectionDeadline(now time.Duration) {
	r.waitForElection(now, r.electionTimeout())
}

// electionTimeout returns a random election timeout.
func (r *Raft) electionTimeout() time.Duration {
	return r.cfg.ElectionTimeout + r.cfg.Jitter(r.cfg.ElectionTimeout/jitterDivisor)
}

// waitForElection sets the election deadline to a time from now on.
func (r *Raft) waitForElection(now, wait time.Duration) {
	r.electionWaitUntil = now + wait
	r.electionDeadline = r.electionWaitUntil
}
