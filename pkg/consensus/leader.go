package consensus

import (
	"slices"
	"time"
)

// latencyDivisor sets the time that a message without entries may take, and that a window of
// entries may take besides: an election timeout divided by it.
const latencyDivisor = 2

// Propose appends commands to the leader's log and returns the term and the index
// of the first one; the others have consecutive indexes.
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

// tickLeader sends heartbeats when due. The leader steps down after an election
// timeout, and the time of an exchange, without contact to a majority, or without the
// completion of a transfer.
func (r *Raft) tickLeader(now time.Duration) {
	if now-max(r.quorumAckedAt(now), r.leaderSince) >= r.cfg.ElectionTimeout+stepsPerExchange*r.stepTime {
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

// peers iterates over the other members in a fixed order.
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

// replicate sends entries, or a snapshot, as far as flow control allows.
func (r *Raft) replicate(now time.Duration, m Member, p *progress) {
	for p.canSend(r.cfg.Window) {
		if p.next > r.log.lastIndex() && p.state == streaming {
			return
		}
		if r.needsSnapshot(p) {
			r.sendSnapshot(now, m, p)
			return
		}
		size := min(p.path.window-p.unacknowledged(), r.cfg.MaxAppendBytes)
		r.sendAppend(now, m, p, r.log.batch(p.next, size))
	}
}

// newProgress returns the progress of a member of which the leader knows nothing yet.
func (r *Raft) newProgress() *progress {
	path := newPathEstimate(r.cfg.MaxTransferRate, r.cfg.ElectionTimeout/latencyDivisor)
	return &progress{next: r.log.lastIndex() + 1, ackedAt: neverAcked, path: path}
}

// messageLatency returns the time that a message without entries and its reply may take.
func (r *Raft) messageLatency() time.Duration {
	return r.cfg.ElectionTimeout/latencyDivisor + stepsPerExchange*r.stepTime
}

// ReportLost records that a message with entries or a snapshot did not reach a member. It
// is sent again with one of the next heartbeats.
func (r *Raft) ReportLost(m Message) {
	p := r.progress[m.To]
	if r.role != Leader || p == nil || m.Term != r.term {
		return
	}
	if m.Snapshot != nil {
		p.snapshotFailed = true
		return
	}
	if p.sentEntriesAt(m.Append.SentAt) {
		p.arriveBy = 0
	}
}

// ReportDelivered records that a message with entries or a snapshot has reached a member.
// The reply is then due soon, however slow the path is: a member may lose a message that it
// has received, since it stops or its disk is full.
func (r *Raft) ReportDelivered(now time.Duration, m Message) {
	p := r.progress[m.To]
	if r.role != Leader || p == nil || m.Term != r.term {
		return
	}
	if m.Snapshot != nil {
		p.snapshotDelivered, p.snapshotDeliveredAt = true, now
		return
	}
	p.recordDelivery(now, r.replyTimeout(), sentEntries{last: lastIndexOf(m.Append.Entries), sentAt: m.Append.SentAt})
}

// replyTimeout returns how long the leader waits for the reply to entries that have arrived.
func (r *Raft) replyTimeout() time.Duration {
	return r.cfg.ElectionTimeout + stepsPerExchange*r.stepTime
}

// heartbeat renews the lease and detects lost messages: it names the entry before
// next, so a member that lacks this entry rejects the request and is probed again. While
// entries are on their way, which it may overtake, a rejection is ignored.
func (r *Raft) heartbeat(now time.Duration, m Member, p *progress) {
	if p.state == installing {
		r.heartbeatDuringSnapshot(now, m, p)
		return
	}
	if p.underWay(now) {
		r.inquire(now, m, p)
		return
	}
	if p.arriveBy > 0 && p.undelivered() > 0 && r.isActive(now, m) {
		p.path.lower()
	}
	p.arriveBy = 0
	p.paused = false
	if p.state == probing && r.isActive(now, m) {
		p.inFlight = nil
		r.replicate(now, m, p)
		return
	}
	// A member that does not answer is sent no entries until it does.
	r.sendAppend(now, m, p, nil)
}

// inquire sends a heartbeat that names the last entry of the oldest message on its way, so
// that the leader learns of the arrival although the reply was lost.
func (r *Raft) inquire(now time.Duration, m Member, p *progress) {
	request := &AppendRequest{SentAt: now}
	oldest := p.inFlight[0].last
	if term, ok := r.log.term(oldest); ok {
		request.PrevIndex, request.PrevTerm, request.Commit = oldest, term, r.commit
	}
	r.sendEarly(Message{To: m, Append: request})
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
	if len(entries) > 0 {
		sent := sentEntries{last: lastIndexOf(entries), sentAt: now, bytes: totalSize(entries)}
		p.recordSent(now, r.messageLatency(), sent)
	}
	if p.state == probing {
		p.paused = true
		p.probeLast = 0
		if len(entries) > 0 {
			p.probeLast = lastIndexOf(entries)
		}
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
	}
}

func lastIndexOf(entries []Entry) uint64 { return entries[len(entries)-1].Index }

func totalSize(entries []Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += e.size()
	}
	return bytes
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
	p.recordArrival(now, r.messageLatency(), reply)
	advanced := p.recordAck(now, r.messageLatency(), reply.Index)
	if p.answersProbe(reply.Index) || p.state == installing && reply.Index >= p.snapshotIndex {
		p.stream()
	}
	if advanced {
		r.advanceCommit(now)
		r.requestElectionIfCaughtUp(m.From, p)
	}
	if r.role == Leader {
		r.replicate(now, m.From, p)
	}
}

// stepRejection moves next back to where the logs may match. Stale rejections are
// ignored.
func (r *Raft) stepRejection(now time.Duration, m Member, p *progress, reply *AppendReply) {
	stale := p.state == installing || reply.Index <= p.match ||
		p.state == probing && reply.Index != p.next-1 ||
		p.underWay(now) && !p.sentEntriesAt(reply.SentAt)
	if stale {
		return
	}
	p.probe(min(reply.Hint, reply.Index-1) + 1)
	r.replicate(now, m, p)
}

// advanceCommit advances the commit index to what a majority of voters holds.
// Entries of earlier terms are committed only together with one of the current
// term: a majority that holds them does not prevent a later leader from
// overwriting them.
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
		r.stepDownAfterRemoval(now)
		return
	}
}

// broadcastCommit sends the commit index to members that have no entries in
// flight, so that they need not wait for the next heartbeat.
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
