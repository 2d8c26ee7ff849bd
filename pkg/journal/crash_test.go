package journal_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/journal/journaltest"
)

// modelState is the state that a journal is expected to restore.
type modelState struct {
	hardState consensus.HardState
	snapshot  uint64
	entries   []consensus.Entry
}

func (m modelState) lastIndex() uint64 { return m.snapshot + uint64(len(m.entries)) }

func (m modelState) withAppend(h consensus.HardState, first uint64, added []consensus.Entry) modelState {
	kept := append([]consensus.Entry(nil), m.entries[:first-m.snapshot-1]...)
	return modelState{hardState: h, snapshot: m.snapshot, entries: append(kept, added...)}
}

func (m modelState) withSnapshot(index uint64) modelState {
	return modelState{hardState: m.hardState, snapshot: index, entries: m.entries[index-m.snapshot:]}
}

// writeOperation is a random write and the state expected after it.
type writeOperation struct {
	run   func(*journal.Journal) error
	after modelState
	// mustRepeat is set if no other write may follow journal.ErrFull.
	mustRepeat bool
}

func randomOperation(r *rand.Rand, m modelState) writeOperation {
	switch p := r.IntN(10); {
	case p == 0 && m.lastIndex() > m.snapshot:
		index := m.snapshot + 1 + r.Uint64N(m.lastIndex()-m.snapshot)
		return writeOperation{
			run:   func(j *journal.Journal) error { return abandonIfFull(j, snapshot(index, 1)) },
			after: m.withSnapshot(index),
		}
	case p == 1:
		s, h := snapshot(m.lastIndex()+r.Uint64N(5)+1, m.hardState.Term), *hardState(m.hardState.Term + 1)
		return writeOperation{
			run:        func(j *journal.Journal) error { return j.Install(s, h) },
			after:      modelState{hardState: h, snapshot: s.Meta.Index},
			mustRepeat: true,
		}
	}
	h := *hardState(m.hardState.Term + 1)
	first := m.snapshot + 1 + r.Uint64N(m.lastIndex()-m.snapshot+1)
	if r.IntN(3) > 0 {
		first = m.lastIndex() + 1
	}
	added := entries(h.Term, first, first+r.Uint64N(4))
	return writeOperation{
		run:   func(j *journal.Journal) error { return j.Append(&h, added) },
		after: m.withAppend(h, first, added),
	}
}

// runCrashSequence performs random writes until an operation fails, simulates a
// crash, and compares the restored state with the acknowledged one. It repeats
// this several times on one disk.
func runCrashSequence(seed uint64) error {
	r := rand.New(rand.NewPCG(seed, seed))
	disk := &journaltest.Disk{}
	m := modelState{}
	for range 5 {
		disk.SetFault(nil)
		j, restored, err := journal.Open(options(disk))
		if err != nil {
			return fmt.Errorf("open: %w", err)
		}
		if err := m.compare(restored); err != nil {
			return err
		}
		if m, err = writeUntilCrash(r, disk, j, m); err != nil {
			return err
		}
	}
	return nil
}

func writeUntilCrash(r *rand.Rand, disk *journaltest.Disk, j *journal.Journal, m modelState) (modelState, error) {
	remaining := r.IntN(120)
	disk.SetFault(func(journaltest.Operation, string) error {
		if remaining--; remaining < 0 {
			return errCrash
		}
		return nil
	})
	for {
		c := randomOperation(r, m)
		if err := c.run(j); err == nil {
			m = c.after
			continue
		}
		disk.SetFault(nil)
		choice := r.IntN(4)
		disk.Crash(func(unsynced []byte) []byte { return unsyncedAfterCrash(choice, unsynced) })
		return stateAfterCrash(disk, m, c.after)
	}
}

// stateAfterCrash returns which of two states the disk holds after a crash.
func stateAfterCrash(disk *journaltest.Disk, before, after modelState) (modelState, error) {
	j, restored, err := journal.Open(options(disk))
	if err != nil {
		return before, fmt.Errorf("open after a crash: %w", err)
	}
	if err := j.Close(); err != nil {
		return before, err
	}
	if after.compare(restored) == nil {
		return after, nil
	}
	// An installed snapshot is valid even if the hard state after it is lost.
	afterWithOldHardState := after
	afterWithOldHardState.hardState = before.hardState
	if afterWithOldHardState.compare(restored) == nil {
		return afterWithOldHardState, nil
	}
	return before, before.compare(restored)
}

func (m modelState) compare(restored *journal.Restored) error {
	s := restored.State
	if s.HardState != m.hardState || s.Snapshot.Index != m.snapshot || len(s.Entries) != len(m.entries) {
		return fmt.Errorf("restored %+v, expected %+v", s, m)
	}
	if len(m.entries) > 0 && !reflect.DeepEqual(s.Entries, m.entries) {
		return fmt.Errorf("restored entries %v, expected %v", s.Entries, m.entries)
	}
	return nil
}
