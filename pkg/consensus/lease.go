package consensus

import (
	"slices"
	"time"
)

// leasePercent of the election timeout is how long the leader trusts a
// confirmation; the rest allows for clocks that run at different rates.
const leasePercent = 90

// confirmedAt returns the latest time at which this leader is known to have
// been followed by a majority: the sending time of messages that a majority
// has answered.
func (r *Raft) confirmedAt(now time.Duration) time.Duration {
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

// LeaseUntil returns until when no other member can become leader. It is 0 if
// this member does not lead, hands leadership over, or has not yet applied
// every entry that earlier leaders committed.
func (r *Raft) LeaseUntil(now time.Duration) time.Duration {
	if r.role != Leader || r.transferee != (Member{}) || r.applied < r.termStart {
		return 0
	}
	return r.confirmedAt(now) + r.cfg.ElectionTimeout*leasePercent/100
}

// TransferLeadership hands over to the voter that has most of the log. The
// leader gives up its lease now, and steps down if no other leader appears
// within the election timeout. It returns false if there is nobody to take over.
func (r *Raft) TransferLeadership(now time.Duration) bool {
	if r.role != Leader {
		return false
	}
	best, p := r.bestSuccessor()
	if p == nil {
		return false
	}
	r.transferee, r.transferSince = best, now
	r.finishTransfer(best, p)
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

// finishTransfer starts the successor's campaign once it has the whole log.
func (r *Raft) finishTransfer(m Member, p *progress) {
	if r.role == Leader && m == r.transferee && p.match == r.log.lastIndex() {
		r.send(Message{To: m, TimeoutNow: &TimeoutNow{}})
	}
}

// leaveAsLeader steps down after this leader's own removal is committed.
func (r *Raft) leaveAsLeader(now time.Duration) {
	r.broadcastCommit(now)
	if best, p := r.bestSuccessor(); p != nil {
		r.send(Message{To: best, TimeoutNow: &TimeoutNow{}})
	}
	r.becomeFollower(now, r.term, Member{})
}
