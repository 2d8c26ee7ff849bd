package consensus

import (
	"slices"
	"time"
)

// leaderLeasePercent is the duration of the leader lease as a percentage of the election
// timeout. The remainder allows for clocks that run at different rates.
const leaderLeasePercent = 90

// quorumAckedAt returns the latest time at which a majority is known to have
// followed this leader: the latest send time that a majority has acknowledged.
func (r *Raft) quorumAckedAt(now time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(r.membership.Voters))
	for _, m := range r.membership.Voters {
		if m == r.cfg.Self {
			times = append(times, now)
			continue
		}
		times = append(times, r.progress[m].ackedAt)
	}
	slices.Sort(times)
	return times[len(times)-r.membership.quorum()]
}

// LeaseUntil returns the end of the leader lease: the time until which no other member
// can become leader. It is 0 if this member is not the leader, is transferring
// leadership, or has not yet applied every entry that earlier leaders committed.
func (r *Raft) LeaseUntil(now time.Duration) time.Duration {
	if r.role != Leader || r.transferee != (Member{}) || r.applied < r.termStart {
		return 0
	}
	return r.quorumAckedAt(now) + r.cfg.ElectionTimeout*leaderLeasePercent/100
}

// TransferLeadership starts a transfer to the voter with the most complete log. The
// leader gives up the leader lease at once, and steps down if no other leader appears
// within the election timeout. It returns false if this member is not the leader
// or there is no other voter.
func (r *Raft) TransferLeadership(now time.Duration) bool {
	if r.role != Leader {
		return false
	}
	best, p := r.bestSuccessor()
	if p == nil {
		return false
	}
	r.transferee, r.transferSince = best, now
	r.requestElectionIfCaughtUp(best, p)
	return true
}

func (r *Raft) bestSuccessor() (best Member, bestProgress *progress) {
	for m, p := range r.peers() {
		if r.membership.IsVoter(m) && (bestProgress == nil || p.match > bestProgress.match) {
			best, bestProgress = m, p
		}
	}
	return best, bestProgress
}

// requestElectionIfCaughtUp asks the successor to start an election if it has the whole
// log. It is called when a transfer starts and for each acknowledgement.
func (r *Raft) requestElectionIfCaughtUp(m Member, p *progress) {
	if r.role == Leader && m == r.transferee && p.match == r.log.lastIndex() {
		r.send(Message{To: m, TimeoutNow: &TimeoutNow{}})
	}
}

// stepDownAfterRemoval steps down once the leader's own removal is committed. It
// asks the best successor to start an election at once.
func (r *Raft) stepDownAfterRemoval(now time.Duration) {
	r.broadcastCommit(now)
	if best, p := r.bestSuccessor(); p != nil {
		r.send(Message{To: best, TimeoutNow: &TimeoutNow{}})
	}
	r.becomeFollower(now, r.term, Member{})
}
