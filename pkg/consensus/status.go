package consensus

// Status is the externally visible state.
type Status struct {
	Role       Role
	Term       uint64
	Leader     Member
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership Membership
	// Snapshot is the index of the newest durable snapshot.
	Snapshot uint64
	// TermStart is the index of the first entry of the leader's term. It is 0 at other
	// members.
	TermStart uint64
}

// Status returns the current state.
func (r *Raft) Status() Status {
	s := Status{
		Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.commit, Applied: r.applied, LastIndex: r.log.lastIndex(),
		Membership: r.membership.clone(), Snapshot: r.snapshot.Index,
	}
	if r.role == Leader {
		s.TermStart = r.termStart
	}
	return s
}
