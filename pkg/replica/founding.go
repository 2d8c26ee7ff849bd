package replica

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

// Kinds of requests between members.
const (
	// diskKind asks an instance for the identity of its disk.
	diskKind mesh.Kind = "replica.disk"
	// foundKind asks a founder to agree on a founding set.
	foundKind mesh.Kind = "replica.found"
)

const (
	// foundingRound is the pause between attempts to form the group, in heartbeats.
	foundingRound = 5
	// maxAskedPeers bounds the instances beside the listed ones that are asked
	// whether they are in a group already.
	maxAskedPeers = 64
)

type diskRequest struct{}

type diskReply struct {
	Member Member `cbor:"1,keyasint"`
	// InGroup is set once the disk has taken part in a group.
	InGroup bool `cbor:"2,keyasint,omitempty"`
	// Voters and Learners are those of the group, as this member sees it.
	Voters   []Member `cbor:"3,keyasint,omitempty"`
	Learners []Member `cbor:"4,keyasint,omitempty"`
}

type foundRequest struct {
	Founders []Member `cbor:"1,keyasint"`
}

type foundReply struct {
	Agreed bool `cbor:"1,keyasint,omitempty"`
}

// FetchMember asks an instance for its identity as a member, such as the one
// to add after its disk was replaced.
func FetchMember(ctx context.Context, m mesh.Mesh, id model.InstanceID) (Member, error) {
	reply, err := mesh.Call[diskRequest, diskReply](ctx, m, id, diskKind, &diskRequest{})
	if err != nil {
		return Member{}, err
	}
	return reply.Member, nil
}

// founding forms the group once. The rule: a founding set is written only after
// every listed instance has agreed to exactly this set while its disk belonged
// to no group, and an instance that has agreed to another set since does not
// write. Once any member has written a set, it agrees to no other, so as long
// as its disk lives there is no second group.
type founding struct {
	node *Node

	mu sync.Mutex
	// inGroup is set before the first durable step in a group.
	inGroup bool
	// agreed is the latest set that this instance agreed to, and generation
	// counts how often it changed.
	agreed     []Member
	generation uint64
	// outside is set once this disk was seen to be no part of an existing group.
	outside bool
}

func newFounding(n *Node) *founding {
	f := &founding{node: n, inGroup: takesPart(n.raft.Status())}
	mesh.Handle(n.opts.Mesh, diskKind, f.serveDisk)
	mesh.Handle(n.opts.Mesh, foundKind, f.serveFound)
	return f
}

// takesPart reports whether the disk holds any trace of a group.
func takesPart(s consensus.Status) bool { return s.Snapshot > 0 || s.Term > 0 }

func (f *founding) serveDisk(context.Context, model.InstanceID, *diskRequest) (*diskReply, error) {
	s := f.node.Status()
	f.mu.Lock()
	defer f.mu.Unlock()
	return &diskReply{Member: f.node.self, InGroup: f.inGroup, Voters: s.Voters, Learners: s.Learners}, nil
}

func (f *founding) serveFound(_ context.Context, _ model.InstanceID, r *foundRequest) (*foundReply, error) {
	return &foundReply{Agreed: f.agree(r.Founders)}, nil
}

// agree accepts a founding set if it names this disk and the listed instances.
func (f *founding) agree(founders []Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inGroup || !slices.Contains(founders, f.node.self) || !f.isListed(founders) {
		return false
	}
	if !slices.Equal(f.agreed, founders) {
		f.agreed = slices.Clone(founders)
		f.generation++
	}
	return true
}

// isListed reports whether founders are the instances of the settings, in order.
func (f *founding) isListed(founders []Member) bool {
	listed := slices.Sorted(slices.Values(f.node.opts.InitialMembers))
	return slices.EqualFunc(founders, listed, func(m Member, id model.InstanceID) bool { return m.Instance == id })
}

// join notes that this disk takes part in a group. It comes before the first
// durable step, so that the disk agrees to no founding from then on.
func (f *founding) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inGroup = true
}

// start tries to form the group in the background until this disk is in one.
func (f *founding) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (f *founding) run(ctx context.Context) {
	pause := time.NewTicker(foundingRound * f.node.opts.Heartbeat)
	defer pause.Stop()
	for !f.isInGroup() {
		f.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
	}
}

func (f *founding) isInGroup() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inGroup
}

func (f *founding) currentGeneration() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

// round is one attempt. It gives up when this instance agrees to another set
// in between.
func (f *founding) round(ctx context.Context) {
	started := f.currentGeneration()
	listed := f.node.opts.InitialMembers
	replies := f.askDisks(ctx, append(slices.Clone(listed), f.otherPeers()...))
	complete := !slices.Contains(replies[:len(listed)], nil)
	if f.groupExists(replies) || !complete || !f.isFounder() {
		return
	}
	founders := foundersOf(replies[:len(listed)])
	if f.currentGeneration() != started || !f.agree(founders) {
		return
	}
	agreedAt := f.currentGeneration()
	if f.askAgreement(ctx, founders) {
		f.write(ctx, founders, agreedAt)
	}
}

func (f *founding) isFounder() bool {
	return slices.Contains(f.node.opts.InitialMembers, f.node.self.Instance)
}

// otherPeers returns instances that are not listed. Members of a group that
// was changed since its founding may be among them.
func (f *founding) otherPeers() []model.InstanceID {
	others := slices.DeleteFunc(f.node.opts.Mesh.Peers(), func(id model.InstanceID) bool {
		return slices.Contains(f.node.opts.InitialMembers, id)
	})
	slices.Sort(others)
	return others[:min(len(others), maxAskedPeers)]
}

// askDisks asks instances for their disks; those that do not answer have nil.
func (f *founding) askDisks(ctx context.Context, asked []model.InstanceID) []*diskReply {
	return parallel(ctx, f.node, asked, func(ctx context.Context, id model.InstanceID) *diskReply {
		reply, err := mesh.Call[diskRequest, diskReply](ctx, f.node.opts.Mesh, id, diskKind, &diskRequest{})
		if err != nil || reply.Member.Instance != id {
			return nil
		}
		return reply
	})
}

// groupExists reports whether some instance is in a group. If that group does
// not know this disk, an operator has to add it.
func (f *founding) groupExists(replies []*diskReply) bool {
	exists, known := false, false
	for _, r := range replies {
		if r != nil && r.InGroup && r.Member != f.node.self {
			exists = true
			known = known || slices.Contains(r.Voters, f.node.self) || slices.Contains(r.Learners, f.node.self)
		}
	}
	if exists && !known && !f.outside {
		f.outside = true
		events.Emit(events.ReplicaNotInGroup, f.node.self.Disk)
	}
	return exists
}

func foundersOf(replies []*diskReply) []Member {
	founders := make([]Member, 0, len(replies))
	for _, r := range replies {
		founders = append(founders, r.Member)
	}
	slices.SortFunc(founders, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return founders
}

func (f *founding) askAgreement(ctx context.Context, founders []Member) bool {
	agreed := parallel(ctx, f.node, f.node.opts.InitialMembers, func(ctx context.Context, id model.InstanceID) bool {
		reply, err := mesh.Call[foundRequest, foundReply](ctx, f.node.opts.Mesh, id, foundKind, &foundRequest{Founders: founders})
		return err == nil && reply.Agreed
	})
	return !slices.Contains(agreed, false)
}

// write makes the founding set durable in the loop.
func (f *founding) write(ctx context.Context, founders []Member, agreedAt uint64) {
	request := func(now time.Duration) {
		if takesPart(f.node.raft.Status()) || !f.claim(founders, agreedAt) {
			return
		}
		f.node.found(now, founders)
	}
	select {
	case f.node.requests <- request:
	case <-ctx.Done():
	}
}

// claim closes this instance to other founding sets before the write.
func (f *founding) claim(founders []Member, agreedAt uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inGroup || f.generation != agreedAt || !slices.Equal(f.agreed, founders) {
		return false
	}
	f.inGroup = true
	return true
}

// found writes the founding snapshot and starts as a voter of the group.
func (n *Node) found(now time.Duration, founders []Member) {
	snapshot := consensus.Founding(founders)
	hard := consensus.HardState{Term: consensus.FoundingTerm, Commit: consensus.FoundingIndex}
	if err := n.journal.Install(snapshot, hard); err != nil {
		n.fatal = err
		return
	}
	n.raft = consensus.New(n.raftConfig(), consensus.State{HardState: hard, Snapshot: snapshot.Meta}, now)
	events.Emit(events.GroupFormed, founders)
}

// parallel asks all instances at once, within an election timeout.
func parallel[T any](ctx context.Context, n *Node, ids []model.InstanceID, ask func(context.Context, model.InstanceID) T) []T {
	ctx, cancel := context.WithTimeout(ctx, n.opts.ElectionTimeout)
	defer cancel()
	results := make([]T, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() { results[i] = ask(ctx, id) })
	}
	wg.Wait()
	return results
}
