package consensus

import "fmt"

// stepAppend handles an AppendRequest from the leader of the current term.
func (r *Raft) stepAppend(m Message) {
	a := m.Append
	// The leader holds every committed entry, so the logs match up to the commit index.
	if a.PrevIndex < r.commit && len(a.Entries) == 0 || a.PrevIndex < r.log.base {
		r.replyAppend(m, AppendReply{Index: r.commit})
		return
	}
	if !r.log.matches(a.PrevIndex, a.PrevTerm) {
		r.replyAppend(m, AppendReply{Index: a.PrevIndex, Rejected: true, Hint: r.log.conflictHint(a.PrevIndex)})
		return
	}
	last := a.PrevIndex + uint64(len(a.Entries))
	if fresh := r.log.newEntries(a.Entries); len(fresh) > 0 {
		r.appendEntries(fresh)
	}
	r.commit = max(r.commit, min(a.Commit, last))
	r.replyAppend(m, AppendReply{Index: last})
}

func (r *Raft) replyAppend(m Message, reply AppendReply) {
	reply.SentAt = m.Append.SentAt
	r.send(Message{To: m.From, AppendReply: &reply})
}

// stepSnapshot installs the snapshot, unless the log already holds its last entry.
func (r *Raft) stepSnapshot(m Message) {
	s := m.Snapshot.Snapshot
	switch {
	case s.Meta.Index <= r.commit:
	case r.log.matches(s.Meta.Index, s.Meta.Term):
		r.commit = s.Meta.Index
	default:
		r.installSnapshot(s)
	}
	reply := &SnapshotReply{Index: min(r.commit, s.Meta.Index), SentAt: m.Snapshot.SentAt}
	r.send(Message{To: m.From, SnapshotReply: reply})
}

func (r *Raft) installSnapshot(s Snapshot) {
	r.log.reset(s.Meta)
	r.commit, r.applied = s.Meta.Index, s.Meta.Index
	r.snapshot, r.snapshotBytes = s.Meta, len(s.Data)
	r.effects.Snapshot = &s
	r.effects.Entries = nil
	r.recomputeMembership()
}

// Compact records that the snapshot described by meta, with data of the given size in
// bytes, is durable. It discards the log entries before it except for the last keep ones,
// or as many of them as maxRetainedBytes allows. Members that need a discarded entry
// receive the snapshot.
func (r *Raft) Compact(meta SnapshotMeta, bytes int, keep uint64) {
	if meta.Index > r.applied {
		panic(fmt.Sprintf("consensus: snapshot at %d beyond applied %d", meta.Index, r.applied))
	}
	if meta.Index <= r.snapshot.Index {
		return
	}
	r.snapshot, r.snapshotBytes = meta, bytes
	r.log.compact(r.log.retainedFrom(meta.Index, keep, maxRetainedBytes))
}

// SnapshotMeta returns the metadata of a snapshot taken now, at the applied index.
func (r *Raft) SnapshotMeta() SnapshotMeta {
	term, _ := r.log.term(r.applied)
	return SnapshotMeta{Index: r.applied, Term: term, Membership: r.membershipAt(r.applied)}
}

// SnapshotBytes returns the size of the data of the newest durable snapshot.
func (r *Raft) SnapshotBytes() int { return r.snapshotBytes }
