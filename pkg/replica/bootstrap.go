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
	// diskKind requests the identity of an instance's disk. A disk is always a data
	// folder with its ID.
	diskKind mesh.Kind = "replica.disk"
	// bootstrapKind asks an initial member to accept a set of initial members.
	bootstrapKind mesh.Kind = "replica.found"
)

const (
	// bootstrapIntervalHeartbeats is the pause between attempts to bootstrap the
	// group, in heartbeats.
	bootstrapIntervalHeartbeats = 5
	// maxProbedPeers limits the instances besides those listed in the settings
	// that are asked whether they already belong to a group.
	maxProbedPeers = 64
)

type diskRequest struct{}

type diskReply struct {
	Member Member `cbor:"1,keyasint"`
	// InGroup is set once the disk has belonged to a group.
	InGroup bool `cbor:"2,keyasint,omitempty"`
	// Voters and Learners are the members of the group as known to this member.
	Voters   []Member `cbor:"3,keyasint,omitempty"`
	Learners []Member `cbor:"4,keyasint,omitempty"`
}

type bootstrapRequest struct {
	Members []Member `cbor:"1,keyasint"`
}

type bootstrapReply struct {
	Accepted bool `cbor:"1,keyasint,omitempty"`
}

// FetchMember requests the member identity of an instance, for example to add
// it after its disk was replaced.
func FetchMember(ctx context.Context, m mesh.Mesh, id model.InstanceID) (Member, error) {
	reply, err := mesh.Call[diskRequest, diskReply](ctx, m, id, diskKind, &diskRequest{})
	if err != nil {
		return Member{}, err
	}
	return reply.Member, nil
}

// bootstrapper forms the group once. A set of initial members is written only
// after every listed instance has accepted exactly this set while its disk
// belonged to no group. An instance that has accepted another set since then
// does not write. Once a member has written a set, it accepts no other, so no
// second group can form as long as that member's disk exists.
type bootstrapper struct {
	node *Node

	mu sync.Mutex
	// inGroup is set before the first durable write as a member of a group.
	inGroup bool
	// accepted is the latest set that this instance accepted, and generation
	// counts how often it changed.
	accepted   []Member
	generation uint64
	// reportedNotInGroup is set once an event was written that a group exists to
	// which this disk does not belong.
	reportedNotInGroup bool
}

func newBootstrapper(n *Node) *bootstrapper {
	b := &bootstrapper{node: n, inGroup: hasGroupState(n.raft.Status())}
	mesh.Handle(n.options.Mesh, diskKind, b.serveDisk)
	mesh.Handle(n.options.Mesh, bootstrapKind, b.serveBootstrap)
	return b
}

// hasGroupState reports whether the disk holds any state of a group.
func hasGroupState(s consensus.Status) bool { return s.Snapshot > 0 || s.Term > 0 }

func (b *bootstrapper) serveDisk(context.Context, model.InstanceID, *diskRequest) (*diskReply, error) {
	s := b.node.Status()
	b.mu.Lock()
	defer b.mu.Unlock()
	return &diskReply{Member: b.node.self, InGroup: b.inGroup, Voters: s.Voters, Learners: s.Learners}, nil
}

func (b *bootstrapper) serveBootstrap(_ context.Context, _ model.InstanceID, r *bootstrapRequest) (*bootstrapReply, error) {
	return &bootstrapReply{Accepted: b.accept(r.Members)}, nil
}

// accept accepts a set of initial members if it consists of the listed
// instances and includes this disk.
func (b *bootstrapper) accept(members []Member) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inGroup || !slices.Contains(members, b.node.self) || !b.matchesSettings(members) {
		return false
	}
	if !slices.Equal(b.accepted, members) {
		b.accepted = slices.Clone(members)
		b.generation++
	}
	return true
}

// matchesSettings reports whether members are the instances listed in the
// settings, sorted by instance.
func (b *bootstrapper) matchesSettings(members []Member) bool {
	sorted := slices.Sorted(slices.Values(b.node.options.InitialMembers))
	return slices.EqualFunc(members, sorted, func(m Member, id model.InstanceID) bool { return m.Instance == id })
}

// markInGroup records that this disk belongs to a group. It is called before the
// first durable write, so that the disk accepts no set of initial members from
// then on.
func (b *bootstrapper) markInGroup() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inGroup = true
}

// start tries to bootstrap the group in the background until this disk belongs
// to one.
func (b *bootstrapper) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (b *bootstrapper) run(ctx context.Context) {
	pause := time.NewTicker(bootstrapIntervalHeartbeats * b.node.options.Heartbeat)
	defer pause.Stop()
	for !b.isInGroup() {
		b.attempt(ctx)
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
	}
}

func (b *bootstrapper) isInGroup() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inGroup
}

func (b *bootstrapper) currentGeneration() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.generation
}

// attempt tries once to bootstrap the group. It gives up if this instance
// accepts another set meanwhile.
func (b *bootstrapper) attempt(ctx context.Context) {
	generationBefore := b.currentGeneration()
	listed := b.node.options.InitialMembers
	replies := b.probeDisks(ctx, append(slices.Clone(listed), b.unlistedPeers()...))
	complete := !slices.Contains(replies[:len(listed)], nil)
	if b.groupExists(replies) || !complete || !b.isInitialMember() {
		return
	}
	members := initialMembersOf(replies[:len(listed)])
	if b.currentGeneration() != generationBefore || !b.accept(members) {
		return
	}
	acceptedGeneration := b.currentGeneration()
	if b.requestAcceptance(ctx, members) {
		b.writeInitialMembers(ctx, members, acceptedGeneration)
	}
}

func (b *bootstrapper) isInitialMember() bool {
	return slices.Contains(b.node.options.InitialMembers, b.node.self.Instance)
}

// unlistedPeers returns the peers that are not listed in the settings. They may
// include members of a group whose membership has changed since bootstrap.
func (b *bootstrapper) unlistedPeers() []model.InstanceID {
	others := slices.DeleteFunc(b.node.options.Mesh.Peers(), func(id model.InstanceID) bool {
		return slices.Contains(b.node.options.InitialMembers, id)
	})
	slices.Sort(others)
	return others[:min(len(others), maxProbedPeers)]
}

// probeDisks asks instances for their disks. The reply is nil for an instance
// that does not answer.
func (b *bootstrapper) probeDisks(ctx context.Context, asked []model.InstanceID) []*diskReply {
	return callAll(ctx, b.node, asked, func(ctx context.Context, id model.InstanceID) *diskReply {
		reply, err := mesh.Call[diskRequest, diskReply](ctx, b.node.options.Mesh, id, diskKind, &diskRequest{})
		if err != nil || reply.Member.Instance != id {
			return nil
		}
		return reply
	})
}

// groupExists reports whether any instance belongs to a group. If this disk is
// not a member of that group, an operator has to add it.
func (b *bootstrapper) groupExists(replies []*diskReply) bool {
	exists, known := false, false
	for _, r := range replies {
		if r != nil && r.InGroup && r.Member != b.node.self {
			exists = true
			known = known || slices.Contains(r.Voters, b.node.self) || slices.Contains(r.Learners, b.node.self)
		}
	}
	if exists && !known && !b.reportedNotInGroup {
		b.reportedNotInGroup = true
		events.Emit(events.ReplicaNotInGroup, b.node.self.Disk)
	}
	return exists
}

func initialMembersOf(replies []*diskReply) []Member {
	members := make([]Member, 0, len(replies))
	for _, r := range replies {
		members = append(members, r.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return members
}

func (b *bootstrapper) requestAcceptance(ctx context.Context, members []Member) bool {
	accepted := callAll(ctx, b.node, b.node.options.InitialMembers, func(ctx context.Context, id model.InstanceID) bool {
		reply, err := mesh.Call[bootstrapRequest, bootstrapReply](ctx, b.node.options.Mesh, id, bootstrapKind, &bootstrapRequest{Members: members})
		return err == nil && reply.Accepted
	})
	return !slices.Contains(accepted, false)
}

// writeInitialMembers makes the set of initial members durable, in the event loop.
func (b *bootstrapper) writeInitialMembers(ctx context.Context, members []Member, acceptedGeneration uint64) {
	request := func(time.Duration) {
		if hasGroupState(b.node.raft.Status()) || !b.finalize(members, acceptedGeneration) {
			return
		}
		b.node.bootstrapGroup(ctx, members)
	}
	select {
	case b.node.loopCalls <- request:
	case <-ctx.Done():
	}
}

// finalize stops this instance from accepting other sets before this one is
// written.
func (b *bootstrapper) finalize(members []Member, acceptedGeneration uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inGroup || b.generation != acceptedGeneration || !slices.Equal(b.accepted, members) {
		return false
	}
	b.inGroup = true
	return true
}

// bootstrapGroup writes the initial snapshot and starts as a voter of the group.
func (n *Node) bootstrapGroup(ctx context.Context, members []Member) {
	snapshot := consensus.BootstrapSnapshot(members)
	hard := consensus.HardState{Term: consensus.BootstrapTerm, Commit: consensus.BootstrapIndex}
	err := n.writeWhenSpace(ctx, func() error { return n.journal.Install(snapshot, hard) })
	if err != nil {
		n.fatalErr = err
		return
	}
	n.raft = consensus.New(n.raftConfig(), consensus.PersistentState{HardState: hard, Snapshot: snapshot.Meta}, n.options.Clock())
	events.Emit(events.GroupFormed, members)
}

// callAll calls all instances concurrently, with a deadline of one election
// timeout.
func callAll[T any](ctx context.Context, n *Node, ids []model.InstanceID, ask func(context.Context, model.InstanceID) T) []T {
	ctx, cancel := context.WithTimeout(ctx, n.options.ElectionTimeout)
	defer cancel()
	results := make([]T, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() { results[i] = ask(ctx, id) })
	}
	wg.Wait()
	return results
}
