package consensus

import (
	"errors"
	"fmt"
	"time"
)

// Config sets the identity and the clocks of a member.
type Config struct {
	Self Member
	// ElectionTimeout is the shortest silence after which a follower
	// campaigns; the longest is a quarter more.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// Window bounds the unanswered messages with entries to one member.
	Window int
	// MaxUncommitted bounds the entries that the leader accepts ahead of the commit.
	MaxUncommitted int
	// Jitter returns a random duration in [0, limit).
	Jitter func(limit time.Duration) time.Duration
}

// Defaults of a Config.
const (
	DefaultMaxAppendBytes = 1 << 20
	DefaultWindow         = 32
	DefaultMaxUncommitted = 1 << 14
)

// jitterShare is the part of the election timeout over which campaigns spread.
const jitterShare = 4

func (c *Config) setDefaults() {
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.MaxUncommitted == 0 {
		c.MaxUncommitted = DefaultMaxUncommitted
	}
}

// Errors of Propose and ProposeChange. Each means that nothing was appended.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTransferring  = errors.New("leadership is being handed over")
	ErrBacklog       = errors.New("too many entries wait for their commit")
	ErrChangePending = errors.New("another membership change is not committed yet")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrNotMember     = errors.New("not a member of the group")
	ErrIsMember      = errors.New("already a member of the group")
	ErrNoMajority    = errors.New("too few voters of the new membership answer")
	ErrLastVoter     = errors.New("the last voter cannot be removed")
)

// PersistentState is what a member finds on its disk at start. The zero value is that of
// a member of no group.
type PersistentState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// Entries follow Snapshot.Index without a gap.
	Entries []Entry
}

// Raft is one member's state. Methods take the time since an origin that stays
// the same for the life of the value.
type Raft struct {
	cfg  Config
	role Role
	term uint64
	vote Member
	// leader is the member that led the latest message of this term.
	leader Member

	log     raftLog
	commit  uint64
	applied uint64
	// snapshot is the newest durable snapshot, which a member that is far
	// behind receives.
	snapshot SnapshotMeta
	// membership is the latest in the log, committed or not. It counts as soon
	// as it is appended.
	membership      Membership
	membershipIndex uint64

	// leaderContact is when the leader was last heard. No vote is given until
	// an election timeout has passed since, so it starts at the time of start:
	// a restarted member does not remember whom it heard.
	leaderContact    time.Duration
	electionDeadline time.Duration
	// campaigns counts the campaigns since a leader was last heard.
	campaigns     int
	nextHeartbeat time.Duration

	votes map[Member]bool
	// transferred marks a campaign that the leader asked for.
	transferred bool

	// progress is kept while leading.
	progress map[Member]*progress
	// leaderSince is when this member became leader.
	leaderSince time.Duration
	// termStart is the index of the empty entry of this leader's term.
	termStart uint64
	// transferSince is when leadership was handed over; the lease is given up
	// then and never taken again in this term.
	transferSince time.Duration
	transferee    Member

	effects     Effects
	savedHard   HardState
	unsyncedLog bool
}

// New returns a member as it was when its state was synced.
func New(cfg Config, s PersistentState, now time.Duration) *Raft {
	cfg.setDefaults()
	r := &Raft{cfg: cfg, term: s.HardState.Term, vote: s.HardState.Vote, snapshot: s.Snapshot}
	r.log.reset(s.Snapshot)
	if len(s.Entries) > 0 {
		r.log.append(s.Entries)
	}
	r.commit = max(s.Snapshot.Index, min(s.HardState.Commit, r.log.lastIndex()))
	r.applied = s.Snapshot.Index
	r.savedHard = r.hardState()
	r.recomputeMembership()
	r.leaderContact = now
	r.resetElectionDeadline(now)
	return r
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.commit}
}

// Tick carries out what is due. A process that was stopped for a while has to
// call it before anything else.
func (r *Raft) Tick(now time.Duration) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now >= r.electionDeadline {
		r.resetElectionDeadline(now)
		r.campaign(now)
	}
}

// Deadline returns when Tick is due next.
func (r *Raft) Deadline() time.Duration {
	if r.role == Leader {
		return r.nextHeartbeat
	}
	return r.electionDeadline
}

func (r *Raft) resetElectionDeadline(now time.Duration) {
	r.electionDeadline = now + r.cfg.ElectionTimeout + r.cfg.Jitter(r.cfg.ElectionTimeout/jitterShare)
}

// Step takes a message in. Messages may be lost, repeated and reordered.
func (r *Raft) Step(now time.Duration, m Message) {
	if m.To != r.cfg.Self || m.From == r.cfg.Self || r.isForeign(m) {
		return
	}
	if m.Vote != nil {
		r.stepVoteRequest(now, m)
		return
	}
	if m.VoteReply != nil && m.VoteReply.Pre && m.VoteReply.Granted {
		r.stepPreVoteReply(now, m)
		return
	}
	if m.Term > r.term {
		r.becomeFollower(now, m.Term, Member{})
	}
	if m.Term < r.term {
		r.rejectOldTerm(m)
		return
	}
	r.stepCurrentTerm(now, m)
}

// isForeign reports whether m comes from another group.
func (r *Raft) isForeign(m Message) bool {
	return r.membership.Group != "" && m.Group != "" && m.Group != r.membership.Group
}

// rejectOldTerm tells a leader of an earlier term that it was replaced.
func (r *Raft) rejectOldTerm(m Message) {
	if m.Append != nil || m.Snapshot != nil {
		r.send(Message{To: m.From, AppendReply: &AppendReply{Rejected: true}})
	}
}

func (r *Raft) stepCurrentTerm(now time.Duration, m Message) {
	switch {
	case m.VoteReply != nil:
		r.stepVoteReply(now, m)
	case m.Append != nil:
		r.followLeader(now, m.From)
		r.stepAppend(m)
	case m.Snapshot != nil:
		r.followLeader(now, m.From)
		r.stepSnapshot(m)
	case m.AppendReply != nil:
		r.stepAppendReply(now, m)
	case m.SnapshotReply != nil:
		r.stepSnapshotReply(now, m)
	case m.TimeoutNow != nil:
		r.stepTimeoutNow(now, m)
	}
}

func (r *Raft) send(m Message) {
	m.From, m.Group = r.cfg.Self, r.membership.Group
	if m.Term == 0 {
		m.Term = r.term
	}
	r.effects.Messages = append(r.effects.Messages, m)
}

// sendEarly queues a message that need not wait for this member's own disk.
func (r *Raft) sendEarly(m Message) {
	m.From, m.Term, m.Group = r.cfg.Self, r.term, r.membership.Group
	r.effects.EarlyMessages = append(r.effects.EarlyMessages, m)
}

// HasEffects reports whether TakeEffects would return anything to do.
func (r *Raft) HasEffects() bool {
	e := &r.effects
	return e.Snapshot != nil || r.unsyncedLog || len(e.Messages) > 0 || len(e.EarlyMessages) > 0 ||
		r.commit > r.applied || r.term != r.savedHard.Term || r.vote != r.savedHard.Vote
}

// TakeEffects returns what is to be done now. The driver does it all before it
// calls any other method.
func (r *Raft) TakeEffects() Effects {
	e := r.effects
	r.effects = Effects{}
	r.unsyncedLog = false
	h := r.hardState()
	voteChanged := h.Term != r.savedHard.Term || h.Vote != r.savedHard.Vote
	if voteChanged || len(e.Entries) > 0 || e.Snapshot != nil {
		r.savedHard = h
		e.HardState = &h
	}
	if voteChanged {
		// A new leader's first messages depend on its own vote being durable.
		e.Messages = append(e.EarlyMessages, e.Messages...)
		e.EarlyMessages = nil
	}
	if r.commit > r.applied {
		e.Committed = r.log.slice(r.applied+1, r.commit)
		r.applied = r.commit
	}
	e.Mark = SyncMark{Term: r.term, Index: r.log.lastIndex()}
	return e
}

// Synced tells that everything up to mark is durable here.
func (r *Raft) Synced(now time.Duration, mark SyncMark) {
	if r.role != Leader || mark.Term != r.term {
		return
	}
	if p := r.progress[r.cfg.Self]; p != nil && p.acked(mark.Index) {
		r.advanceCommit(now)
	}
}

// appendEntries adds entries to the log and to the effects.
func (r *Raft) appendEntries(entries []Entry) {
	first := entries[0].Index
	if first <= r.commit {
		panic(fmt.Sprintf("consensus: entry %d would replace a committed one (commit %d)", first, r.commit))
	}
	truncates := first <= r.log.lastIndex()
	r.log.append(entries)
	r.unsyncedLog = true
	r.queueEntries(entries)
	if truncates {
		r.recomputeMembership()
		return
	}
	for _, e := range entries {
		r.noteMembership(e)
	}
}

// queueEntries adds entries to the effects in place of those that they cut off.
func (r *Raft) queueEntries(entries []Entry) {
	queued := r.effects.Entries
	first := entries[0].Index
	for len(queued) > 0 && queued[len(queued)-1].Index >= first {
		queued = queued[:len(queued)-1]
	}
	r.effects.Entries = append(queued, entries...)
}
