package journal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/journal/journaltest"
)

// failOnce returns a fault that fails the next operation of a kind.
func failOnce(op journaltest.Operation, err error) func(journaltest.Operation, string) error {
	return func(o journaltest.Operation, _ string) error {
		if o != op || err == nil {
			return nil
		}
		failed := err
		err = nil
		return failed
	}
}

var _ = Describe("A journal on a full disk", func() {
	var disk *journaltest.Disk
	var j *journal.Journal

	BeforeEach(func() {
		disk = &journaltest.Disk{}
		j, _ = open(disk)
		Expect(j.Append(hardState(1), entries(1, 1, 2))).To(Succeed())
	})

	expectEntries := func(last uint64) {
		GinkgoHelper()
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 1, last)))
	}

	It("continues after a write that was cut off at any length", func() {
		for free := range 60 {
			disk.LimitSpace(free)
			Expect(j.Append(hardState(1), entries(1, 3, 3))).To(MatchError(journal.ErrFull))
		}
		disk.UnlimitSpace()
		Expect(j.Append(hardState(1), entries(1, 3, 3))).To(Succeed())
		expectEntries(3)
	})

	It("leaves no part of an undone write that a crash could bring back", func() {
		disk.LimitSpace(100)
		Expect(j.Append(hardState(1), entries(1, 3, 9))).To(MatchError(journal.ErrFull))
		disk.UnlimitSpace()
		disk.SetFault(failOnce(journaltest.Sync, errCrash))
		Expect(j.Append(hardState(2), entries(1, 3, 3))).To(MatchError(errCrash))
		disk.SetFault(nil)
		disk.Crash(func(unsynced []byte) []byte { return unsynced[:20] })
		_, restored := open(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 1, 2)))
	})

	It("rejects all writes if a part of a write cannot be undone", func() {
		for _, op := range []journaltest.Operation{journaltest.Truncate, journaltest.Sync} {
			disk.LimitSpace(10)
			disk.SetFault(failOnce(op, syscall.EIO))
			Expect(j.Append(hardState(1), entries(1, 3, 3))).To(MatchError(syscall.EIO))
			disk.UnlimitSpace()
			Expect(j.Append(hardState(1), entries(1, 3, 3))).To(MatchError(syscall.EIO))
			j, _ = reopen(disk)
		}
	})

	It("rejects all writes after a sync that finds the disk full", func() {
		disk.SetFault(failOnce(journaltest.Sync, syscall.ENOSPC))
		err := j.Append(hardState(1), entries(1, 3, 3))
		Expect(failure.CodeOf(err)).To(Equal(failure.DataFolderFull))
		Expect(err).NotTo(MatchError(journal.ErrFull))
		Expect(j.Append(hardState(1), entries(1, 3, 3))).To(MatchError(syscall.ENOSPC))
	})

	It("begins a segment once there is space for its file and its header", func() {
		Expect(j.Append(hardState(1), entries(1, 3, 20))).To(Succeed())
		for free := range 40 {
			disk.LimitSpace(free)
			Expect(j.Append(hardState(2), entries(1, 21, 21))).To(MatchError(journal.ErrFull))
		}
		Expect(len(segments(disk))).To(Equal(2))
		disk.UnlimitSpace()
		Expect(j.Append(hardState(2), entries(1, 21, 21))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 1, 21)))
		Expect(restored.State.HardState).To(Equal(*hardState(2)))
	})

	It("opens without space, also where a crash left a segment without a header", func() {
		Expect(j.Append(hardState(1), entries(1, 3, 20))).To(Succeed())
		disk.LimitSpace(10)
		Expect(j.Append(hardState(1), entries(1, 21, 21))).To(MatchError(journal.ErrFull))
		disk.Crash(func(unsynced []byte) []byte { return unsynced })
		disk.LimitSpace(0)
		again, restored := open(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 1, 20)))
		Expect(again.Append(nil, entries(1, 21, 21))).To(MatchError(journal.ErrFull))
		disk.UnlimitSpace()
		Expect(again.Append(nil, entries(1, 21, 21))).To(Succeed())
		expectEntries(21)
	})

	It("gives back the space of a snapshot that does not fit, and still counts its log", func() {
		logBytes, size := j.LogBytes(), disk.Size()
		disk.LimitSpace(120)
		large := snapshot(2, 1)
		large.Data = make([]byte, 1000)
		pending, err := j.PrepareSnapshot(large)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.WriteSnapshot(pending)).To(MatchError(journal.ErrFull))
		j.AbandonSnapshot(pending)
		Expect(j.LogBytes()).To(BeNumerically(">", logBytes))
		Expect(disk.Size()).To(Equal(size + int(j.LogBytes()-logBytes)))
		disk.UnlimitSpace()
		Expect(takeSnapshot(j, snapshot(2, 1))).To(Succeed())
		Expect(j.LogBytes()).To(BeNumerically("<", logBytes))
		_, restored := reopen(disk)
		Expect(restored.State.Snapshot.Index).To(Equal(uint64(2)))
		Expect(restored.State.HardState).To(Equal(*hardState(1)))
	})

	It("begins no more segments while snapshots keep failing", func() {
		for range 10 {
			disk.SetFault(failOnce(journaltest.Rename, syscall.ENOSPC))
			pending, err := j.PrepareSnapshot(snapshot(2, 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(j.WriteSnapshot(pending)).To(Succeed())
			Expect(j.CommitSnapshot(pending)).To(MatchError(journal.ErrFull))
			j.AbandonSnapshot(pending)
			Expect(j.Append(hardState(1), entries(1, 3, 3))).To(Succeed())
		}
		Expect(len(segments(disk))).To(BeNumerically("<=", 4))
		Expect(disk.Names()).NotTo(ContainElement(HaveSuffix(".tmp")))
	})

	It("keeps the hard state when a snapshot follows one that failed at the end of a segment", func() {
		pending, err := j.PrepareSnapshot(snapshot(2, 1))
		Expect(err).NotTo(HaveOccurred())
		j.AbandonSnapshot(pending)
		Expect(j.Append(hardState(5), entries(5, 3, 20))).To(Succeed())
		disk.LimitSpace(10)
		Expect(j.Append(hardState(5), entries(5, 21, 21))).To(MatchError(journal.ErrFull))
		_, err = j.PrepareSnapshot(snapshot(20, 5))
		Expect(err).To(MatchError(journal.ErrFull))
		disk.UnlimitSpace()
		Expect(takeSnapshot(j, snapshot(20, 5))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.HardState).To(Equal(*hardState(5)))
	})

	It("installs a snapshot once there is space for it", func() {
		large := snapshot(20, 3)
		large.Data = make([]byte, 500)
		for free := 0; free < 500; free += 10 {
			disk.LimitSpace(free)
			Expect(j.Install(large, *hardState(3))).To(MatchError(journal.ErrFull))
		}
		disk.UnlimitSpace()
		Expect(j.Install(large, *hardState(3))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.SnapshotData).To(Equal(large.Data))
		Expect(restored.State.HardState).To(Equal(*hardState(3)))
		Expect(restored.State.Entries).To(BeEmpty())
	})

	It("does not return to a log that an installed snapshot replaced and that could not be removed", func() {
		Expect(j.Append(hardState(1), entries(1, 3, 20))).To(Succeed())
		disk.SetFault(func(op journaltest.Operation, name string) error {
			if op == journaltest.Remove && strings.Contains(name, "/log-") {
				return syscall.ENOSPC
			}
			return nil
		})
		Expect(j.Install(snapshot(10, 3), *hardState(3))).To(Succeed())
		disk.SetFault(nil)
		Expect(j.Append(hardState(3), entries(3, 11, 12))).To(Succeed())
		Expect(takeSnapshot(j, snapshot(11, 3))).To(Succeed())
		Expect(j.Append(hardState(3), entries(3, 13, 13))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(Equal(entries(3, 12, 13)))
	})

	It("initializes a folder once there is space for it", func() {
		disk = &journaltest.Disk{}
		for free := range len(`{"format":1,"disk":"disk-1"}`) {
			disk.LimitSpace(free)
			expectOpenError(disk, failure.DataFolderFull)
			if free%2 == 0 {
				disk.Crash(nil)
			}
		}
		disk.UnlimitSpace()
		_, restored := open(disk)
		Expect(restored.New).To(BeTrue())
	})

	It("keeps what was acknowledged when it is full at any operation and crashes later", func() {
		const seeds = 400
		for seed := range uint64(seeds) {
			Expect(runFullDiskSequence(seed)).To(Succeed(), "seed %d", seed)
		}
	})
})

// runFullDiskSequence performs random writes on a disk that is full now and then, with
// crashes and with restarts while it is full, and compares the restored state with the
// acknowledged one.
func runFullDiskSequence(seed uint64) error {
	r := rand.New(rand.NewPCG(seed, ^seed))
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
		if m, err = writeWhileFullNowAndThen(r, disk, j, m); err != nil {
			return err
		}
	}
	return nil
}

// fullAtTimes returns a fault that finds the disk full for a few operations at random
// times, and fails every operation after the given number.
func fullAtTimes(r *rand.Rand, operations int) func(journaltest.Operation, string) error {
	needsSpace := []journaltest.Operation{journaltest.Write, journaltest.Append, journaltest.Rename, journaltest.Remove}
	full := 0
	return func(op journaltest.Operation, _ string) error {
		if operations--; operations < 0 {
			return errCrash
		}
		if full == 0 && r.IntN(8) == 0 {
			full = 1 + r.IntN(5)
		}
		if full > 0 && slices.Contains(needsSpace, op) {
			full--
			return syscall.ENOSPC
		}
		return nil
	}
}

func writeWhileFullNowAndThen(r *rand.Rand, disk *journaltest.Disk, j *journal.Journal, m modelState) (modelState, error) {
	disk.SetFault(fullAtTimes(r, r.IntN(200)))
	c := randomOperation(r, m)
	for {
		err := c.run(j)
		switch {
		case err == nil:
			m = c.after
			c = randomOperation(r, m)
		case !errors.Is(err, journal.ErrFull):
			disk.SetFault(nil)
			choice := r.IntN(4)
			disk.Crash(func(unsynced []byte) []byte { return unsyncedAfterCrash(choice, unsynced) })
			return stateAfterCrash(disk, m, c.after)
		case r.IntN(10) == 0:
			disk.SetFault(nil)
			if err := j.Close(); err != nil {
				return m, err
			}
			return stateAfterCrash(disk, m, c.after)
		case !c.mustRepeat && r.IntN(2) == 0:
			c = randomOperation(r, m)
		}
	}
}

// abandonIfFull takes a snapshot, and abandons it if there is no space for it.
func abandonIfFull(j *journal.Journal, s consensus.Snapshot) error {
	pending, err := j.PrepareSnapshot(s)
	if err != nil {
		return err
	}
	err = j.WriteSnapshot(pending)
	if err == nil {
		err = j.CommitSnapshot(pending)
	}
	if errors.Is(err, journal.ErrFull) {
		j.AbandonSnapshot(pending)
	}
	return err
}
