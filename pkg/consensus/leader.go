package consensus

import (
	"slices"
	"time"
)

// snapshotPatience is how many election timeouts the leader waits for the
// reply to a snapshot before it sends it again.
const snapshotPatience = 10

// Propose appends commands to the leader's log and returns the index of the
// first one; the others follow it.
func (r *Raft) Propose(now time.Duration, commands [][]byte) (term, first uint64, err error) {
	if err := r.checkProposal(); err != nil {
		return 0, 0, err
	}
	if r.log.lastIndex()-r.commit+uint64(len(commands)) > uint64(r.cfg.MaxUncommitted) {
		return 0, 0, ErrBacklog
	}
	first = r.log.lastIndex() + 1
	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Term: r.term, Index: first + uint64(i), Command: c}
	}
	r.appendEntries(entries)
	r.broadcast(now)
	return r.term, first, nil
}

func (r *Raft) checkProposal() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transferee != (Member{}) {
		return ErrTransferring
	}
	return nil
}

// tickLeader steps down without a majority and sends heartbeats when due.
func (r *Raft) tickLeader(now time.Duration) {
	if now-max(r.confirmedAt(now), r.leaderSince) >= r.cfg.ElectionTimeout {
		r.becomeFollower(now, r.term, Member{})
		return
	}
	if r.transferee != (Member{}) && now-r.transferSince >= r.cfg.ElectionTimeout {
		r.becomeFollower(now, r.term, Member{})
		return
	}
	if now < r.nextHeartbeat {
		return
	}
	r.nextHeartbeat = now + r.cfg.Heartbeat
	for m, p := range r.peers() {
		r.heartbeat(now, m, p)
	}
}

// peers ranges over the other members in a fixed order.
func (r *Raft) peers() func(yield func(Member, *progress) bool) {
	return func(yield func(Member, *progress) bool) {
		for _, m := range append(slices.Clone(r.membership.Voters), r.membership.Learners...) {
			if p := r.progress[m]; p != nil && m != r.cfg.Self && !yield(m, p) {
				return
			}
		}
	}
}

func (r *Raft) broadcast(now time.Duration) {
	for m, p := range r.peers() {
		r.replicate(now, m, p)
	}
}

// replicate sends what the window allows.
func (r *Raft) replicate(now time.Duration, m Member, p *progress) {
	for p.canSend(r.cfg.Window) {
		if p.next > r.log.lastIndex() && p.state == streaming {
			return
		}
		if _, ok := r.log.term(p.next - 1); !ok {
			r.sendSnapshot(now, m, p)
			return
		}
		r.sendAppend(now, m, p, r.log.batch(p.next, r.cfg.MaxAppendBytes))
	}
}

// heartbeat renews the lease and finds lost messages: it names the entry
// before next, so a member that lacks it rejects and is probed again.
func (r *Raft) heartbeat(now time.Duration, m Member, p *progress) {
	p.paused = false
	if p.state == installing {
		r.heartbeatInstalling(now, m, p)
		return
	}
	if p.state == probing {
		r.replicate(now, m, p)
		return
	}
	r.sendAppend(now, m, p, nil)
}

// heartbeatInstalling keeps the member from campaigning and repeats a snapshot
// that went unanswered.
func (r *Raft) heartbeatInstalling(now time.Duration, m Member, p *progress) {
	if now-p.installSince >= snapshotPatience*r.cfg.ElectionTimeout {
		p.probe(p.match + 1)
		r.replicate(now, m, p)
		return
	}
	r.sendEarly(Message{To: m, Append: &AppendRequest{SentAt: now}})
}

func (r *Raft) sendAppend(now time.Duration, m Member, p *progress, entries []Entry) {
	prev := p.next - 1
	prevTerm, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(now, m, p)
		return
	}
	r.sendEarly(Message{To: m, Append: &AppendRequest{
		PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: r.commit, SentAt: now,
	}})
	if p.state == probing {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (r *Raft) sendSnapshot(now time.Duration, m Member, p *progress) {
	p.state = installing
	p.installSince = now
	p.inFlight = nil
	r.sendEarly(Message{To: m, Snapshot: &SnapshotRequest{Snapshot: Snapshot{Meta: r.snapshot}, SentAt: now}})
}

func (r *Raft) stepAppendReply(now time.Duration, m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	reply := m.AppendReply
	p.ackedAt = max(p.ackedAt, reply.SentAt)
	if reply.Rejected {
		r.stepRejection(now, m.From, p, reply)
		return
	}
	advanced := p.acked(reply.Index)
	if p.state == probing && reply.Index+1 >= p.next || p.state == installing && reply.Index >= r.log.base && reply.Index > 0 {
		p.stream()
	}
	if advanced {
		r.advanceCommit(now)
		r.finishTransfer(m.From, p)
	}
	if r.role == Leader {
		r.replicate(now, m.From, p)
	}
}

// stepRejection moves back to where the logs may agree. A rejection of an
// older message than the one that counts is ignored.
func (r *Raft) stepRejection(now time.Duration, m Member, p *progress, reply *AppendReply) {
	stale := p.state == installing || reply.Index <= p.match ||
		p.state == probing && reply.Index != p.next-1
	if stale {
		return
	}
	p.probe(min(reply.Hint, reply.Index-1) + 1)
	r.replicate(now, m, p)
}

func (r *Raft) stepSnapshotReply(now time.Duration, m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.ackedAt = max(p.ackedAt, m.SnapshotReply.SentAt)
	advanced := p.acked(m.SnapshotReply.Index)
	if p.state == installing {
		p.probe(p.match + 1)
	}
	if advanced {
		r.advanceCommit(now)
	}
	if r.role == Leader {
		r.replicate(now, m.From, p)
	}
}

// advanceCommit commits what a majority of voters holds. Entries of earlier
// terms are committed only through one of this term, since a majority for them
// alone does not keep a later leader from replacing them.
func (r *Raft) advanceCommit(now time.Duration) {
	index := r.quorumMatch()
	if index <= r.commit {
		return
	}
	if term, ok := r.log.term(index); !ok || term != r.term {
		return
	}
	r.commit = index
	if r.membershipIndex <= r.commit && !r.membership.IsVoter(r.cfg.Self) {
		r.leaveAsLeader(now)
		return
	}
}

// broadcastCommit tells members without entries on the way about the commit,
// so that they do not wait for the next heartbeat.
func (r *Raft) broadcastCommit(now time.Duration) {
	for m, p := range r.peers() {
		if p.state == streaming && p.next > r.log.lastIndex() && len(p.inFlight) == 0 {
			r.sendAppend(now, m, p, nil)
		}
	}
}

// quorumMatch returns the largest index that a majority of voters holds.
func (r *Raft) quorumMatch() uint64 {
	matches := make([]uint64, 0, len(r.membership.Voters))
	for _, m := range r.membership.Voters {
		matches = append(matches, r.progress[m].match)
	}
	slices.Sort(matches)
	return matches[len(matches)-r.membership.quorum()]
}
