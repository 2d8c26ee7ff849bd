package replica

import (
	"context"
	"errors"
	"math"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/model"
)

const (
	// minSpaceRetryInterval is the first pause before a write that found the disk full is
	// repeated. It doubles up to maxSpaceRetryInterval, since an attempt may encode and
	// write a large snapshot.
	minSpaceRetryInterval = 100 * time.Millisecond
	maxSpaceRetryInterval = time.Second
	// snapshotRetryInterval is the pause after a snapshot of this member's own state that
	// found the disk full.
	snapshotRetryInterval = 2 * time.Second
)

// writeWhenSpace runs write, and repeats it while the disk is full. Meanwhile this
// member is suspended: it is no leader, votes for none and acknowledges nothing, and the
// others go on as if it had stopped. It returns journal.ErrFull if ctx ends first.
func (n *Node) writeWhenSpace(ctx context.Context, write func() error) error {
	err := write()
	if !errors.Is(err, journal.ErrFull) {
		return err
	}
	since := n.options.Clock()
	n.suspend(err)
	defer func() { n.resume(since, err) }()
	pause := minSpaceRetryInterval
	for errors.Is(err, journal.ErrFull) {
		if !n.rejectUntil(ctx, time.After(pause)) {
			return err
		}
		pause = min(2*pause, maxSpaceRetryInterval)
		err = write()
	}
	return err
}

// suspend publishes that this member does not lead and fails the proposals that wait for
// an outcome, which it cannot learn for now.
func (n *Node) suspend(cause error) {
	n.metrics.diskFull.Inc()
	n.metrics.diskFullWaits.Inc()
	n.metrics.lossesTolerated.Set(math.NaN())
	events.Emit(events.DataFolderFull, cause)
	s := n.Status().suspended()
	n.leaderLeaseUntil.Store(0)
	n.status.Store(&s)
	n.waiters.failAfter(0, errUnknown("propose", "", cause))
}

// suspended returns the status of a member that waits for space: it knows of no leader
// and has none of what only a leader knows.
func (s Status) suspended() Status {
	s.DiskFull, s.Leader = true, Member{}
	s.LearnerProgress, s.LossesTolerated, s.TermStart = nil, nil, 0
	if s.Role == RoleLeader {
		s.Role = RoleFollower
	}
	return s
}

// resume ends the suspension. The status is published again after the effects.
func (n *Node) resume(since time.Duration, err error) {
	waited := n.options.Clock() - since
	n.suspendedFor += waited
	n.metrics.diskFull.Dec()
	if err == nil {
		events.Emit(events.DataFolderHasSpace, waited.Milliseconds())
	}
}

// errDiskFull rejects the messages of a peer, so that it knows at once that entries and
// snapshots have to be sent again.
func errDiskFull(step string, from model.InstanceID) error {
	return failure.New(failure.DataFolderFull, failure.NotRun, step, string(from), "the disk of this member is full")
}

// rejectUntil rejects proposals until retry fires, and drops the messages of peers that
// have arrived before. It returns false once ctx is done. Messages are dropped rather than
// kept, since they would be out of date, and the protocol resends what is needed.
func (n *Node) rejectUntil(ctx context.Context, retry <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-retry:
			return true
		case <-n.inbound:
		case p := <-n.proposals:
			if p.claim() {
				p.done <- outcome{err: n.errNotLeader("propose")}
			}
		}
	}
}

// postponeSnapshot reports whether err means that the disk has no space for a snapshot.
// The log then stays as it is until a later snapshot is written.
func (n *Node) postponeSnapshot(err error) bool {
	if !errors.Is(err, journal.ErrFull) {
		return false
	}
	n.nextSnapshot = n.options.Clock() + snapshotRetryInterval
	n.metrics.snapshotsAbandoned.Inc()
	events.Emit(events.SnapshotPostponed, err)
	return true
}
