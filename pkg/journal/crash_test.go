package journal_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/journal/journaltest"
)

// modelState is what a journal should restore.
type modelState struct {
	hard     consensus.HardState
	snapshot uint64
	entries  []consensus.Entry
}

func (m modelState) last() uint64 { return m.snapshot + uint64(len(m.entries)) }

func (m modelState) appended(h consensus.HardState, first uint64, added []consensus.Entry) modelState {
	kept := append([]consensus.Entry(nil), m.entries[:first-m.snapshot-1]...)
	return modelState{hard: h, snapshot: m.snapshot, entries: append(kept, added...)}
}

func (m modelState) snapshotted(index uint64) modelState {
	return modelState{hard: m.hard, snapshot: index, entries: m.entries[index-m.snapshot:]}
}

// change is a random write: what it does, and what should be there afterwards.
type change struct {
	do    func(*journal.Journal) error
	after modelState
}

func randomChange(r *rand.Rand, m modelState) change {
	switch p := r.IntN(10); {
	case p == 0 && m.last() > m.snapshot:
		index := m.snapshot + 1 + r.Uint64N(m.last()-m.snapshot)
		return change{
			do:    func(j *journal.Journal) error { return takeSnapshot(j, snapshot(index, 1)) },
			after: m.snapshotted(index),
		}
	case p == 1:
		s, h := snapshot(m.last()+r.Uint64N(5)+1, m.hard.Term), *hard(m.hard.Term + 1)
		return change{
			do:    func(j *journal.Journal) error { return j.Install(s, h) },
			after: modelState{hard: h, snapshot: s.Meta.Index},
		}
	}
	h := *hard(m.hard.Term + 1)
	first := m.snapshot + 1 + r.Uint64N(m.last()-m.snapshot+1)
	if r.IntN(3) > 0 {
		first = m.last() + 1
	}
	added := entries(h.Term, first, first+r.Uint64N(4))
	return change{
		do:    func(j *journal.Journal) error { return j.Append(&h, added) },
		after: m.appended(h, first, added),
	}
}

// crashOnce writes at random until an operation fails, crashes, and compares
// what is restored with what was acknowledged. It does so several times on one
// disk.
func crashOnce(seed uint64) error {
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
	left := r.IntN(120)
	disk.SetFault(func(journaltest.Operation, string) error {
		if left--; left < 0 {
			return errCrash
		}
		return nil
	})
	for {
		c := randomChange(r, m)
		if err := c.do(j); err == nil {
			m = c.after
			continue
		}
		disk.SetFault(nil)
		choice := r.IntN(4)
		disk.Crash(func(unsynced []byte) []byte { return tear(choice, unsynced) })
		return settle(disk, m, c.after)
	}
}

// settle returns which of two states the disk holds after a crash.
func settle(disk *journaltest.Disk, before, after modelState) (modelState, error) {
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
	// An installed snapshot counts even if the hard state after it is lost.
	halfway := after
	halfway.hard = before.hard
	if halfway.compare(restored) == nil {
		return halfway, nil
	}
	return before, before.compare(restored)
}

func (m modelState) compare(restored *journal.Restored) error {
	s := restored.State
	if s.HardState != m.hard || s.Snapshot.Index != m.snapshot || len(s.Entries) != len(m.entries) {
		return fmt.Errorf("restored %+v, expected %+v", s, m)
	}
	if len(m.entries) > 0 && !reflect.DeepEqual(s.Entries, m.entries) {
		return fmt.Errorf("restored entries %v, expected %v", s.Entries, m.entries)
	}
	return nil
}
