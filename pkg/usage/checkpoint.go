package usage

import (
	"cmp"
	"maps"
	"slices"
)

// MaxCheckpointCounts bounds the counts of a checkpoint, so that the log and the snapshots
// stay small. A fleet that counts more has no checkpoints.
const MaxCheckpointCounts = 8192

// Checkpoint returns the counts of all windows after decided, for the replicated log: a
// loss of power takes them from all entry instances at once. It returns false if nothing
// was counted since the last one, or there are too many counts.
func (l *Ledger) Checkpoint(decided Window) ([]ProcessCounts, bool) {
	if !l.changed {
		return nil, false
	}
	var (
		all    []ProcessCounts
		counts int
	)
	for from, p := range l.processes {
		c := ProcessCounts{Process: from}
		for _, w := range slices.Sorted(maps.Keys(p.windows)) {
			if w > decided {
				c.Windows = append(c.Windows, WindowCounts{Window: w, Counts: p.windows[w]})
				counts += len(p.windows[w])
			}
		}
		if len(c.Windows) > 0 {
			all = append(all, c)
		}
	}
	if counts > MaxCheckpointCounts {
		return nil, false
	}
	slices.SortFunc(all, func(a, b ProcessCounts) int {
		return cmp.Or(cmp.Compare(a.Process.Instance, b.Process.Instance), cmp.Compare(a.Process.Boot, b.Process.Boot))
	})
	l.changed = false
	return all, true
}

// CheckpointFailed records that the newest checkpoint may not have been saved.
func (l *Ledger) CheckpointFailed() { l.changed = true }

// Restore merges the counts of a checkpoint. Processes that still run report theirs again,
// which changes nothing.
func (l *Ledger) Restore(checkpoint []ProcessCounts, decided Window) {
	for _, c := range checkpoint {
		l.merge(l.reportsOf(c.Process), c.Windows, decided, ^Window(0))
	}
}
