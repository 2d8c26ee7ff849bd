package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	worldElectionTimeout = 100 * time.Millisecond
	worldHeartbeat       = 20 * time.Millisecond
	// maxClockDrift is the largest deviation of a member's clock rate.
	maxClockDrift     = 0.03
	worldSnapshotLag  = 20
	worldSnapshotKeep = 5
	maxPending        = 400
	// spares are instances outside the founding group.
	spares = 2
)

// disk is what survives a crash of a simulated member.
type disk struct {
	state PersistentState
	chain uint64
}

// node is a simulated member. raft is nil while it is down.
type node struct {
	member Member
	disk   disk
	lost   bool
	raft   *Raft
	// chain is the applied state: a hash over all applied entries.
	chain     uint64
	origin    time.Duration
	rate      float64
	wasLeader uint64
}

func (n *node) now(w *world) time.Duration {
	return time.Duration(float64(w.time-n.origin) * n.rate)
}

type position struct{ index, term uint64 }

// world is a group over a network with faults, all from one seed. It records
// what must hold and returns the first violation as an error.
type world struct {
	rand    *rand.Rand
	time    time.Duration
	nodes   []*node
	pending []Message
	// delayed messages come much later, if at all.
	delayed []Message
	weights []int
	total   int
	blocked map[[2]model.InstanceID]bool
	disks   int
	faults  bool

	// leaders holds the leader of each term.
	leaders map[uint64]Member
	// entries holds the content of each position and the term before it.
	entries map[position]string
	// accepted holds the applied entry of each index, and chains the state after it.
	accepted map[uint64]position
	chains   map[uint64]uint64
	// answered is the largest index that a leader applied, so that a proposer
	// may have been told.
	answered uint64
	violated error
	proposed int
}

func newWorld(seed uint64, voters int) *world {
	w := &world{
		rand:     rand.New(rand.NewPCG(seed, seed)),
		blocked:  make(map[[2]model.InstanceID]bool),
		leaders:  make(map[uint64]Member),
		entries:  make(map[position]string),
		accepted: make(map[uint64]position),
		chains:   make(map[uint64]uint64),
		faults:   true,
	}
	for i := range voters {
		w.nodes = append(w.nodes, &node{member: w.newMember(model.InstanceID(rune('a' + i)))})
	}
	var members []Member
	for _, n := range w.nodes {
		members = append(members, n.member)
	}
	founding := BootstrapSnapshot(members)
	for _, n := range w.nodes {
		n.disk.state = PersistentState{HardState: HardState{Term: BootstrapTerm, Commit: BootstrapIndex}, Snapshot: founding.Meta}
	}
	for i := range spares {
		w.nodes = append(w.nodes, &node{member: w.newMember(model.InstanceID(rune('x' + i)))})
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func (w *world) newMember(id model.InstanceID) Member {
	w.disks++
	return Member{Instance: id, Disk: model.DiskID(fmt.Sprintf("d%d", w.disks))}
}

func (w *world) boot(n *node) {
	n.origin = w.time
	n.rate = 1 + maxClockDrift*(2*w.rand.Float64()-1)
	n.chain = n.disk.chain
	n.wasLeader = 0
	state := n.disk.state
	state.Entries = slices.Clone(state.Entries)
	n.raft = New(Config{
		Self:            n.member,
		ElectionTimeout: worldElectionTimeout,
		Heartbeat:       worldHeartbeat,
		MaxAppendBytes:  256,
		Window:          4,
		Jitter: func(limit time.Duration) time.Duration {
			return time.Duration(w.rand.Int64N(int64(limit)))
		},
	}, state, n.now(w))
	w.flush(n)
}

func (w *world) violate(format string, args ...any) {
	if w.violated == nil {
		w.violated = fmt.Errorf(format, args...)
	}
}

// flush does what a driver does, and may crash in between.
func (w *world) flush(n *node) {
	for n.raft != nil && n.raft.HasEffects() {
		e := n.raft.TakeEffects()
		w.post(e.EarlyMessages)
		if w.crashes(n) {
			return
		}
		w.persist(n, &e)
		if w.crashes(n) {
			return
		}
		w.post(e.Messages)
		if e.Snapshot != nil {
			n.chain = decodeChain(e.Snapshot.Data)
			w.checkChain(n, e.Snapshot.Meta.Index)
		}
		w.apply(n, e.Committed)
		n.raft.Synced(n.now(w), e.Mark)
		w.snapshotIfDue(n)
		w.checkLeader(n)
	}
}

func (w *world) crashes(n *node) bool {
	if !w.faults || w.rand.IntN(400) > 0 {
		return false
	}
	n.raft = nil
	return true
}

func (w *world) persist(n *node, e *Effects) {
	s := &n.disk.state
	if e.Snapshot != nil {
		s.Snapshot, s.Entries = e.Snapshot.Meta, nil
		n.disk.chain = decodeChain(e.Snapshot.Data)
	}
	for _, entry := range e.Entries {
		position := entry.Index - s.Snapshot.Index - 1
		if entry.Index <= s.Snapshot.Index || position > uint64(len(s.Entries)) {
			w.violate("%s writes entry %d to a log of (%d, +%d]", n.member, entry.Index, s.Snapshot.Index, len(s.Entries))
			return
		}
		s.Entries = append(s.Entries[:position:position], entry)
		w.checkEntry(n, entry)
	}
	if e.HardState != nil {
		s.HardState = *e.HardState
	}
}

// checkEntry checks log matching: equal positions have equal content and equal
// predecessors.
func (w *world) checkEntry(n *node, e Entry) {
	previous, _ := n.raft.log.term(e.Index - 1)
	content := fmt.Sprintf("%q after term %d, %v", e.Command, previous, e.Membership)
	at := position{e.Index, e.Term}
	if known, ok := w.entries[at]; ok && known != content {
		// The entry may have been replaced in the log since it was queued.
		if n.raft.log.matches(e.Index, e.Term) {
			w.violate("entry %v is %s at %s and %s elsewhere", at, content, n.member, known)
		}
		return
	}
	w.entries[at] = content
}

func (w *world) apply(n *node, entries []Entry) {
	for _, e := range entries {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %d %q", n.chain, e.Term, e.Command)
		n.chain = h.Sum64()
		at := position{e.Index, e.Term}
		if known, ok := w.accepted[e.Index]; ok && known != at {
			w.violate("%s applies %v where %v was applied", n.member, at, known)
		}
		w.accepted[e.Index] = at
		w.checkChain(n, e.Index)
		if n.raft.role == Leader && len(e.Command) > 0 {
			w.answered = max(w.answered, e.Index)
		}
	}
}

func (w *world) checkChain(n *node, index uint64) {
	if known, ok := w.chains[index]; ok && known != n.chain {
		w.violate("%s has another state at %d", n.member, index)
	}
	w.chains[index] = n.chain
}

func encodeChain(chain uint64) []byte { return binary.BigEndian.AppendUint64(nil, chain) }

func decodeChain(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

func (w *world) snapshotIfDue(n *node) {
	s := n.raft.Status()
	if s.Applied-s.Snapshot < worldSnapshotLag {
		return
	}
	meta := n.raft.SnapshotMeta()
	durable := &n.disk.state
	if meta.Index > durable.Snapshot.Index+uint64(len(durable.Entries)) {
		return
	}
	durable.Entries = slices.Clone(durable.Entries[meta.Index-durable.Snapshot.Index:])
	durable.Snapshot = meta
	n.disk.chain = n.chain
	n.raft.Compact(meta, worldSnapshotKeep)
}

// checkLeader checks election safety, leader completeness and the lease.
func (w *world) checkLeader(n *node) {
	if n.raft.role != Leader {
		return
	}
	w.checkLease(n)
	if n.wasLeader == n.raft.term {
		return
	}
	n.wasLeader = n.raft.term
	if known, ok := w.leaders[n.raft.term]; ok && known != n.member {
		w.violate("term %d has leaders %s and %s", n.raft.term, known, n.member)
	}
	w.leaders[n.raft.term] = n.member
	w.checkCompleteness(n)
	for _, other := range w.nodes {
		if other != n && other.raft != nil && other.raft.LeaseUntil(other.now(w)) > other.now(w) {
			w.violate("%s leads in term %d while %s holds the lease of term %d", n.member, n.raft.term, other.member, other.raft.term)
		}
	}
}

func (w *world) checkCompleteness(n *node) {
	for index, at := range w.accepted {
		if index > n.raft.log.base && !n.raft.log.matches(index, at.term) {
			w.violate("leader %s of term %d lacks accepted entry %v", n.member, n.raft.term, at)
		}
	}
}

// checkLease checks that a leader with a lease has applied everything that any
// leader may have confirmed to a proposer.
func (w *world) checkLease(n *node) {
	now := n.now(w)
	if n.raft.LeaseUntil(now) > now && n.raft.applied < w.answered {
		w.violate("%s holds the lease at applied %d, but %d was answered", n.member, n.raft.applied, w.answered)
	}
}

func (w *world) post(messages []Message) {
	for _, m := range messages {
		if m.Snapshot != nil {
			sender := w.find(m.From)
			request := *m.Snapshot
			request.Snapshot.Data = encodeChain(sender.disk.chain)
			request.Snapshot.Meta = sender.disk.state.Snapshot
			m.Snapshot = &request
		}
		w.pending = append(w.pending, m)
	}
	if len(w.pending) > maxPending {
		w.pending = w.pending[len(w.pending)-maxPending:]
	}
}

func (w *world) find(m Member) *node {
	for _, n := range w.nodes {
		if n.member == m {
			return n
		}
	}
	return nil
}

func (w *world) deliver(m Message) {
	n := w.find(m.To)
	if n == nil || n.raft == nil || w.blocked[[2]model.InstanceID{m.From.Instance, m.To.Instance}] {
		return
	}
	n.raft.Step(n.now(w), m)
	w.flush(n)
}
