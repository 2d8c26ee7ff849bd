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
	s := n.raft.Status()
	if n.snapshotInProgress || s.Applied-s.Snapshot < uint64(n.options.SnapshotEvery) {
		return nil
	}
	data, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take snapshot: %w", err)
	}
	pending, err := n.journal.PrepareSnapshot(consensus.Snapshot{Meta: n.raft.SnapshotMeta(), Data: data})
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

// commitSnapshot makes a written snapshot the current one and truncates the log
// before it. The entries of half a snapshot interval stay in memory for members
// that are slightly behind.
func (n *Node) commitSnapshot(s writtenSnapshot) {
	n.snapshotInProgress = false
	if s.err == nil {
		s.err = n.journal.CommitSnapshot(s.prepared)
	}
	if s.err != nil {
		n.fatalErr = s.err
		return
	}
	n.raft.Compact(s.prepared.Meta(), uint64(n.options.SnapshotEvery/2))
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
