package replica

import (
	"fmt"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/journal"
)

// writtenSnapshot is the result of writing a snapshot outside the event loop.
type writtenSnapshot struct {
	prepared *journal.PendingSnapshot
	err      error
}

// snapshotIfDue takes a snapshot of the state in the event loop and writes it in
// the background.
func (n *Node) snapshotIfDue() error {
	if n.snapshotInProgress || !n.snapshotDue() || n.options.Clock() < n.nextSnapshot {
		return nil
	}
	data, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot: %w", err)
	}
	pending, err := n.journal.PrepareSnapshot(consensus.Snapshot{Meta: n.raft.SnapshotMeta(), Data: data})
	if n.postponeSnapshot(err) {
		return nil
	}
	if err != nil {
		return err
	}
	n.snapshotInProgress = true
	n.snapshotWriters.Go(func() {
		err := n.journal.WriteSnapshot(pending)
		n.snapshots <- writtenSnapshot{prepared: pending, err: err}
	})
	return nil
}

const (
	// logPerSnapshotByte is the size of the log, in multiples of the last snapshot, after
	// which the next one is taken. It bounds what snapshots add to the bytes written.
	logPerSnapshotByte = 4
	// minSnapshotLogBytes is the size of the log that is kept however small the state is.
	minSnapshotLogBytes = 1 << 20
	// maxSnapshotLogBytes is the size of the log after which a snapshot is taken however
	// large the state is: a few commands of the largest size.
	maxSnapshotLogBytes = 16 << 20
)

// snapshotDue reports whether the log is long enough for a snapshot, by entries or by
// bytes. A few large commands would otherwise fill the disk before they are many, and a
// new member would be sent the versions of the state that they replaced.
func (n *Node) snapshotDue() bool {
	s := n.raft.Status()
	return s.Applied-s.Snapshot >= uint64(n.options.SnapshotEvery) ||
		s.Applied > s.Snapshot && n.journal.LogBytes() >= n.snapshotLogBytes()
}

// snapshotLogBytes returns the size of the log after which a snapshot is taken although
// there are fewer entries than Options.SnapshotEvery.
func (n *Node) snapshotLogBytes() int64 {
	bytes := int64(logPerSnapshotByte * n.raft.SnapshotBytes())
	return min(max(bytes, minSnapshotLogBytes), maxSnapshotLogBytes)
}

// commitSnapshot makes a written snapshot the current one and truncates the log
// before it. The entries of half a snapshot interval, as far as Compact keeps them, stay
// in memory for members that are slightly behind.
func (n *Node) commitSnapshot(s writtenSnapshot) {
	n.snapshotInProgress = false
	if s.err == nil {
		s.err = n.journal.CommitSnapshot(s.prepared)
	}
	if n.postponeSnapshot(s.err) {
		n.journal.AbandonSnapshot(s.prepared)
		return
	}
	if s.err != nil {
		n.fatalErr = s.err
		return
	}
	n.raft.Compact(s.prepared.Meta(), s.prepared.Bytes(), uint64(n.options.SnapshotEvery/2))
	n.metrics.snapshots.Inc()
	events.Emit(events.StateSnapshotWritten, s.prepared.Meta().Index, s.prepared.Bytes())
}

// restoreFrom restores the state from a snapshot that the leader sent.
func (n *Node) restoreFrom(s *consensus.Snapshot) error {
	if len(s.Data) > 0 {
		if err := n.options.StateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	events.Emit(events.StateSnapshotInstalled, s.Meta.Index, n.raft.Status().Leader.Instance)
	return nil
}
