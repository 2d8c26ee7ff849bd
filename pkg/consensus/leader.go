package consensus

import (
	"slices"
	"time"
)

// snapshotRetryTimeouts is the number of election timeouts that the leader waits
// for the reply to a snapshot before it resends it.
const snapshotRetryTimeouts = 10

// maxTransferTimeouts is the number of election timeouts after which entries that were
// sent and not acknowledged count as lost, however many they are.
const maxTransferTimeouts = 10

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
		if _, ok := r.log.term(p.next - 1); !ok {
			r.sendSnapshot(now, m, p)
			return
		}
		r.sendAppend(now, m, p, r.log.batch(p.next, r.cfg.MaxAppendBytes))
	}
}

// heartbeat renews the lease and detects lost messages: it names the entry before
// next, so a member that lacks this entry rejects the request and is probed again. While
// entries are on their way it names none, since it may overtake them, and the member would
// be sent the same entries again and again.
func (r *Raft) heartbeat(now time.Duration, m Member, p *progress) {
	if p.state == installing {
		r.heartbeatDuringSnapshot(now, m, p)
		return
	}
	if p.underWay(now) {
		r.sendEarly(Message{To: m, Append: &AppendRequest{SentAt: now}})
		return
	}
	p.paused = false
	if p.state == probing {
		r.replicate(now, m, p)
		return
	}
	r.sendAppend(now, m, p, nil)
}

// heartbeatDuringSnapshot keeps the member from campaigning and retries a snapshot
// that was not acknowledged in time.
func (r *Raft) heartbeatDuringSnapshot(now time.Duration, m Member, p *progress) {
	if now-p.snapshotSentAt >= snapshotRetryTimeouts*r.cfg.ElectionTimeout {
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
	if len(entries) > 0 {
		p.recordSent(now, r.transferTime(entries), maxTransferTimeouts*r.cfg.ElectionTimeout)
	}
	if p.state == probing {
		p.paused = true
		p.probeLast = 0
		if len(entries) > 0 {
			p.probeLast = entries[len(entries)-1].Index
		}
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

// transferTime returns how long entries take to a member at the slowest pace at which they
// do not count as lost.
func (r *Raft) transferTime(entries []Entry) time.Duration {
	bytes := 0
	for _, e := range entries {
		bytes += e.size()
	}
	return time.Duration(float64(bytes) / float64(r.cfg.MinTransferRate) * float64(time.Second))
}

func (r *Raft) sendSnapshot(now time.Duration, m Member, p *progress) {
	p.state = installing
	p.snapshotSentAt = now
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
	advanced := p.recordAck(reply.Index)
	if p.answersProbe(reply.Index) || p.state == installing && reply.Index >= r.log.base && reply.Index > 0 {
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
	advanced := p.recordAck(m.SnapshotReply.Index)
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
