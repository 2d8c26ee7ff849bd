package consensus

import (
	"errors"
	"fmt"
	"time"
)

// Config holds the identity, timeouts and limits of a member.
type Config struct {
	Self Member
	// ElectionTimeout is the minimum time without a message from the leader
	// after which a follower campaigns; the maximum is a quarter more.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// MaxTransferRate is the greatest rate, in bytes per second, at which entries are
	// assumed to reach a member. The estimate for each member starts there and falls
	// when entries arrive late.
	MaxTransferRate int
	// MaxAppendBytes limits the size of the entries in one message.
	MaxAppendBytes int
	// Window limits the unacknowledged messages with entries per member.
	Window int
	// MaxUncommitted limits the uncommitted entries that the leader accepts.
	MaxUncommitted int
	// Jitter returns a random duration in [0, limit).
	Jitter func(limit time.Duration) time.Duration
}

// Defaults for zero fields of a Config.
const (
	DefaultMaxAppendBytes  = 1 << 20
	DefaultMaxTransferRate = 1 << 20
	DefaultWindow          = 32
	DefaultMaxUncommitted  = 1 << 14
)

// jitterDivisor sets the election jitter: up to ElectionTimeout/jitterDivisor.
const jitterDivisor = 4

func (c *Config) setDefaults() {
	if c.MaxTransferRate == 0 {
		c.MaxTransferRate = DefaultMaxTransferRate
	}
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

// Errors returned by Propose and ProposeChange. On each, nothing was appended.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTransferring  = errors.New("leadership transfer in progress")
	ErrBacklog       = errors.New("too many uncommitted entries")
	ErrChangePending = errors.New("another membership change is not yet committed")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrNotMember     = errors.New("not a member of the group")
	ErrIsMember      = errors.New("already a member of the group")
	ErrNoMajority    = errors.New("too few voters of the new membership are responding")
	ErrLastVoter     = errors.New("the last voter cannot be removed")
)

// PersistentState is the durable state that a member starts from. The zero value
// is that of a member without a group.
type PersistentState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// SnapshotBytes is the size of the snapshot's data.
	SnapshotBytes int
	// Entries are contiguous and start at Snapshot.Index+1.
	Entries []Entry
}

// Raft is the state of one member. Methods take the time since an origin that
// must stay fixed for the lifetime of the value.
type Raft struct {
	cfg  Config
	role Role
	term uint64
	vote Member
	// leader is the leader of this term, if known.
	leader Member

	log     raftLog
	commit  uint64
	applied uint64
	// snapshot is the newest durable snapshot. It is sent to members that need
	// entries which were compacted.
	snapshot SnapshotMeta
	// snapshotBytes is the size of its data.
	snapshotBytes int
	// membership is the latest in the log, committed or not. It takes effect
	// as soon as it is appended.
	membership      Membership
	membershipIndex uint64

	// lastLeaderContact is when the last message from a leader arrived. This
	// member grants no vote until an election timeout later. It is initialized
	// to the start time, since a restarted member does not know when it last
	// heard from a leader.
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	// electionWaitUntil is the election deadline without the time for slow steps.
	electionWaitUntil time.Duration
	// electionAttempts counts the elections started since the last contact with a leader.
	electionAttempts int
	nextHeartbeat    time.Duration
	// stepTime is how long the driver's slow steps take at most, until the exchange that
	// the latest delayed has had time to complete; stepEnd is when that one ended.
	stepTime, stepEnd time.Duration

	votes map[Member]bool
	// answers are those to the vote requests since the last contact with a leader.
	answers voteAnswers
	// transferRequested is set if the leader requested the current election.
	transferRequested bool

	// progress is non-nil only on the leader.
	progress map[Member]*progress
	// leaderSince is when this member became leader.
	leaderSince time.Duration
	// termStart is the index of the empty entry that opened this leader's term.
	termStart uint64
	// transferSince is when the leadership transfer began. The leader gives up
	// its lease then and does not regain it in this term.
	transferSince time.Duration
	transferee    Member

	effects        Effects
	savedHardState HardState
	unsyncedLog    bool
}

// New returns a member restored from its durable state.
func New(cfg Config, s PersistentState, now time.Duration) *Raft {
	cfg.setDefaults()
	r := &Raft{cfg: cfg, term: s.HardState.Term, vote: s.HardState.Vote, snapshot: s.Snapshot}
	r.snapshotBytes = s.SnapshotBytes
	r.log.reset(s.Snapshot)
	if len(s.Entries) > 0 {
		r.log.append(s.Entries)
	}
	r.commit = max(s.Snapshot.Index, min(s.HardState.Commit, r.log.lastIndex()))
	r.applied = s.Snapshot.Index
	r.savedHardState = r.hardState()
	r.recomputeMembership()
	r.lastLeaderContact = now
	r.resetElectionDeadline(now)
	return r
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.commit}
}

// Tick handles expired timers. After a pause of the process, the driver must call
// it before any other method.
func (r *Raft) Tick(now time.Duration) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now >= r.electionDeadline {
		r.resetElectionDeadline(now)
		r.startPreVote(now)
	}
}

// Step handles a received message. Messages may be lost, duplicated and reordered.
func (r *Raft) Step(now time.Duration, m Message) {
	if m.To != r.cfg.Self || m.From == r.cfg.Self {
		return
	}
	if m.VoteReply != nil {
		r.answers.recordReply(m)
	}
	if r.isFromOtherGroup(m) {
		if m.Vote != nil {
			r.refuseInSenderTerm(m, OtherGroup)
		}
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

// isFromOtherGroup reports whether m comes from another group.
func (r *Raft) isFromOtherGroup(m Message) bool {
	return r.membership.GroupID != "" && m.GroupID != "" && m.GroupID != r.membership.GroupID
}

// rejectOldTerm informs a leader of an earlier term that the term has advanced.
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
		r.recordLeaderContact(now, m.From)
		r.stepAppend(m)
	case m.Snapshot != nil:
		r.recordLeaderContact(now, m.From)
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
	m.From, m.GroupID = r.cfg.Self, r.membership.GroupID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.effects.Messages = append(r.effects.Messages, m)
}

// sendEarly queues a message that is normally sent before the local disk syncs.
// TakeEffects moves it behind the sync if the vote or the term has changed.
func (r *Raft) sendEarly(m Message) {
	m.From, m.Term, m.GroupID = r.cfg.Self, r.term, r.membership.GroupID
	r.effects.EarlyMessages = append(r.effects.EarlyMessages, m)
}

// HasEffects reports whether TakeEffects would return any action.
func (r *Raft) HasEffects() bool {
	e := &r.effects
	return e.Snapshot != nil || r.unsyncedLog || len(e.Messages) > 0 || len(e.EarlyMessages) > 0 ||
		r.commit > r.applied || r.term != r.savedHardState.Term || r.vote != r.savedHardState.Vote
}

// TakeEffects returns the pending actions. The driver must complete all of them
// before it calls any other method.
func (r *Raft) TakeEffects() Effects {
	e := r.effects
	r.effects = Effects{}
	r.unsyncedLog = false
	h := r.hardState()
	voteChanged := h.Term != r.savedHardState.Term || h.Vote != r.savedHardState.Vote
	if voteChanged || len(e.Entries) > 0 || e.Snapshot != nil {
		r.savedHardState = h
		e.HardState = &h
	}
	if voteChanged {
		// A new leader's first messages depend on its own vote being durable, so
		// they must not be sent before the sync.
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

// Synced records that the local log is durable up to mark.
func (r *Raft) Synced(now time.Duration, mark SyncMark) {
	if r.role != Leader || mark.Term != r.term {
		return
	}
	if p := r.progress[r.cfg.Self]; p != nil && p.recordAck(now, 0, mark.Index) {
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
		r.adoptMembership(e)
	}
}

// queueEntries adds entries to the effects and removes queued entries that they
// overwrite.
func (r *Raft) queueEntries(entries []Entry) {
	queued := r.effects.Entries
	first := entries[0].Index
	for len(queued) > 0 && queued[len(queued)-1].Index >= first {
		queued = queued[:len(queued)-1]
	}
	r.effects.Entries = append(queued, entries...)
}
