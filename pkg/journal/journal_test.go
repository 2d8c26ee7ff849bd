package journal_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/journal/journaltest"
	"radishturn.example/radishturn/pkg/model"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}

const (
	folder       = "/data"
	smallSegment = 400
	sectorBytes  = 512
)

func options(disk journal.FileSystem) journal.Options {
	return journal.Options{
		Folder: folder, FileSystem: disk, SegmentBytes: smallSegment,
		NewDiskID: func() model.DiskID { return "disk-1" },
	}
}

func open(disk journal.FileSystem) (*journal.Journal, *journal.Restored) {
	GinkgoHelper()
	j, restored, err := journal.Open(options(disk))
	Expect(err).NotTo(HaveOccurred())
	return j, restored
}

// reopen does not close the journal first: a crash releases the lock.
func reopen(disk *journaltest.Disk) (*journal.Journal, *journal.Restored) {
	GinkgoHelper()
	disk.Crash(nil)
	return open(disk)
}

func expectOpenError(disk journal.FileSystem, code failure.Code) {
	GinkgoHelper()
	_, _, err := journal.Open(options(disk))
	Expect(err).To(HaveOccurred())
	Expect(failure.CodeOf(err)).To(Equal(code), err.Error())
}

func entry(term, index uint64) consensus.Entry {
	return consensus.Entry{Term: term, Index: index, Command: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

func entries(term, from, to uint64) []consensus.Entry {
	var all []consensus.Entry
	for index := from; index <= to; index++ {
		all = append(all, entry(term, index))
	}
	return all
}

func hardState(term uint64) *consensus.HardState {
	return &consensus.HardState{Term: term, Vote: consensus.Member{Instance: "a", Disk: "disk-1"}, Commit: term}
}

func snapshot(index, term uint64) consensus.Snapshot {
	return consensus.Snapshot{
		Meta: consensus.SnapshotMeta{Index: index, Term: term},
		Data: fmt.Appendf(nil, "state at %d", index),
	}
}

// segments returns the names of the segments, oldest first.
func segments(disk *journaltest.Disk) []string {
	return slices.DeleteFunc(disk.Names(), func(name string) bool { return !strings.HasPrefix(name, folder+"/log-") })
}

func takeSnapshot(j *journal.Journal, s consensus.Snapshot) error {
	pending, err := j.PrepareSnapshot(s)
	if err != nil {
		return err
	}
	if err := j.WriteSnapshot(pending); err != nil {
		return err
	}
	return j.CommitSnapshot(pending)
}

// expectTornTailTruncated expects that the torn end of a segment with two entries
// is truncated and that later writes succeed.
func expectTornTailTruncated(disk *journaltest.Disk, name string, content []byte) {
	GinkgoHelper()
	disk.SetContent(name, content)
	again, restored := reopen(disk)
	Expect(restored.State.HardState).To(Equal(*hardState(1)))
	Expect(restored.State.Entries).To(Equal(entries(1, 1, 2)))
	Expect(again.Append(hardState(4), entries(1, 3, 3))).To(Succeed())
	_, restored = reopen(disk)
	Expect(restored.State.Entries).To(Equal(entries(1, 1, 3)))
}

var _ = Describe("A journal", func() {
	var disk *journaltest.Disk
	var j *journal.Journal

	BeforeEach(func() {
		disk = &journaltest.Disk{}
		var restored *journal.Restored
		j, restored = open(disk)
		Expect(restored.New).To(BeTrue())
	})

	It("restores what was written, over several segments", func() {
		for index := uint64(1); index <= 50; index++ {
			Expect(j.Append(hardState(index), entries(1, index, index))).To(Succeed())
		}
		Expect(len(segments(disk))).To(BeNumerically(">", 2))
		again, restored := reopen(disk)
		Expect(again.Disk()).To(Equal(model.DiskID("disk-1")))
		Expect(restored.New).To(BeFalse())
		Expect(restored.State.HardState).To(Equal(*hardState(50)))
		Expect(restored.State.Entries).To(Equal(entries(1, 1, 50)))
	})

	It("replaces entries from the first new one on", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 9))).To(Succeed())
		Expect(j.Append(hardState(2), entries(2, 4, 5))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(Equal(append(entries(1, 1, 3), entries(2, 4, 5)...)))
	})

	It("keeps its log bounded by snapshots", func() {
		for index := uint64(1); index <= 200; index++ {
			Expect(j.Append(hardState(1), entries(1, index, index))).To(Succeed())
			if index%20 == 0 {
				Expect(takeSnapshot(j, snapshot(index, 1))).To(Succeed())
				Expect(len(segments(disk))).To(BeNumerically("<=", 2))
			}
		}
		Expect(j.Append(nil, entries(1, 201, 203))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.Snapshot.Index).To(Equal(uint64(200)))
		Expect(restored.SnapshotData).To(Equal(snapshot(200, 1).Data))
		Expect(restored.State.Entries).To(Equal(entries(1, 201, 203)))
		Expect(restored.State.HardState).To(Equal(*hardState(1)))
	})

	It("keeps entries that were written during a snapshot", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 10))).To(Succeed())
		pending, err := j.PrepareSnapshot(snapshot(7, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Append(hardState(1), entries(1, 11, 12))).To(Succeed())
		Expect(j.WriteSnapshot(pending)).To(Succeed())
		Expect(j.CommitSnapshot(pending)).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 8, 12)))
	})

	It("installs a snapshot in place of the whole log", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 30))).To(Succeed())
		Expect(j.Install(snapshot(20, 3), *hardState(3))).To(Succeed())
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(BeEmpty())
		Expect(restored.State.Snapshot.Term).To(Equal(uint64(3)))
		Expect(restored.State.HardState).To(Equal(*hardState(3)))
	})

	It("truncates a torn end at every length, and at every sector that reads as zeros", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 2))).To(Succeed())
		name := segments(disk)[0]
		before := disk.Content(name)
		Expect(j.Append(hardState(2), entries(1, 3, 60))).To(Succeed())
		whole := disk.Content(name)
		Expect(len(whole)).To(BeNumerically(">", 3*sectorBytes))
		for length := len(before); length < len(whole); length++ {
			expectTornTailTruncated(disk, name, whole[:length])
			if length%sectorBytes == 0 || length == len(before) {
				expectTornTailTruncated(disk, name, append(slices.Clone(whole[:length]), make([]byte, len(whole)-length)...))
				zeroed := slices.Clone(whole)
				clear(zeroed[length:min(len(whole), (length/sectorBytes+1)*sectorBytes)])
				expectTornTailTruncated(disk, name, zeroed)
			}
		}
	})

	It("rejects a flipped bit at any position", func() {
		for index := uint64(1); index <= 20; index++ {
			Expect(j.Append(hardState(1), entries(1, index, index))).To(Succeed())
		}
		Expect(takeSnapshot(j, snapshot(10, 1))).To(Succeed())
		Expect(j.Append(hardState(1), entries(1, 21, 22))).To(Succeed())
		for _, name := range append(segments(disk), folder+"/snapshot") {
			whole := disk.Content(name)
			for i := range whole {
				flipped := slices.Clone(whole)
				flipped[i] ^= 1 << (i % 8)
				disk.SetContent(name, flipped)
				disk.Crash(nil)
				expectOpenError(disk, failure.DataFolderDamaged)
			}
			disk.SetContent(name, whole)
		}
	})

	It("rejects a flipped bit in a last record that ends in zeros", func() {
		name := segments(disk)[0]
		before := disk.Content(name)
		for zeros := 1; zeros < sectorBytes; zeros++ {
			disk.SetContent(name, before)
			again, _ := reopen(disk)
			added := consensus.Entry{Term: 1, Index: 1, Command: make([]byte, zeros)}
			Expect(again.Append(nil, []consensus.Entry{added})).To(Succeed())
			flipped := disk.Content(name)
			flipped[len(before)+20] ^= 1
			disk.SetContent(name, flipped)
			disk.Crash(nil)
			expectOpenError(disk, failure.DataFolderDamaged)
		}
	})

	It("rejects a folder with a missing file", func() {
		for index := uint64(1); index <= 40; index++ {
			Expect(j.Append(hardState(1), entries(1, index, index))).To(Succeed())
		}
		for _, name := range append(segments(disk), folder+"/disk.json") {
			whole := disk.Content(name)
			if name == segments(disk)[len(segments(disk))-1] {
				continue
			}
			disk.Delete(name)
			disk.Crash(nil)
			expectOpenError(disk, failure.DataFolderDamaged)
			disk.SetContent(name, whole)
		}
	})

	It("rejects a folder that kept its identity but lost its log", func() {
		for _, name := range segments(disk) {
			disk.Delete(name)
		}
		disk.Crash(nil)
		expectOpenError(disk, failure.DataFolderDamaged)
	})

	It("rejects the segment of another disk", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 2))).To(Succeed())
		name := segments(disk)[0]
		other := &journaltest.Disk{}
		o := options(other)
		o.NewDiskID = func() model.DiskID { return "disk-2" }
		_, _, err := journal.Open(o)
		Expect(err).NotTo(HaveOccurred())
		other.SetContent(name, disk.Content(name))
		other.Crash(nil)
		expectOpenError(other, failure.DataFolderDamaged)
	})

	It("rejects all writes after a failed sync", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 2))).To(Succeed())
		disk.SetFault(func(op journaltest.Operation, _ string) error {
			if op == journaltest.Sync {
				return syscall.EIO
			}
			return nil
		})
		Expect(j.Append(hardState(1), entries(1, 3, 3))).To(MatchError(syscall.EIO))
		disk.SetFault(nil)
		Expect(j.Append(hardState(1), entries(1, 3, 3))).To(MatchError(syscall.EIO))
		_, err := j.PrepareSnapshot(snapshot(2, 1))
		Expect(err).To(MatchError(syscall.EIO))
		Expect(j.Install(snapshot(9, 1), *hardState(1))).To(MatchError(syscall.EIO))
		_, restored := reopen(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 1, 2)))
	})

	It("reports that the disk is full and keeps acknowledged writes", func() {
		Expect(j.Append(hardState(1), entries(1, 1, 2))).To(Succeed())
		disk.LimitSpace(10)
		err := j.Append(hardState(1), entries(1, 3, 4))
		Expect(failure.CodeOf(err)).To(Equal(failure.DataFolderFull))
		disk.Crash(func(unsynced []byte) []byte { return unsynced })
		_, restored := open(disk)
		Expect(restored.State.Entries).To(Equal(entries(1, 1, 2)))
	})

	It("reports that the folder is read-only", func() {
		disk.SetFault(func(op journaltest.Operation, _ string) error {
			if op == journaltest.Lock || op == journaltest.Append {
				return syscall.EROFS
			}
			return nil
		})
		disk.Crash(nil)
		expectOpenError(disk, failure.DataFolderReadOnly)
	})

	It("lets one process at a time use a real folder", func() {
		o := journal.Options{Folder: GinkgoT().TempDir()}
		first, _, err := journal.Open(o)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = journal.Open(o)
		Expect(failure.CodeOf(err)).To(Equal(failure.DataFolderOccupied))
		Expect(first.Append(hardState(1), entries(1, 1, 3))).To(Succeed())
		Expect(takeSnapshot(first, snapshot(2, 1))).To(Succeed())
		Expect(first.Close()).To(Succeed())
		Expect(first.Append(hardState(1), nil)).NotTo(Succeed())
		second, restored, err := journal.Open(o)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.State.Entries).To(Equal(entries(1, 3, 3)))
		Expect(second.Close()).To(Succeed())
	})
})

var errCrash = errors.New("crash")

var _ = Describe("A crash at any operation", func() {
	const seeds = 400

	It("leaves the state before or after the write in progress", func() {
		for seed := range uint64(seeds) {
			Expect(runCrashSequence(seed)).To(Succeed(), "seed %d", seed)
		}
	})
})

// unsyncedAfterCrash returns the part of the unsynced bytes that survives a crash,
// in one of the ways possible on a disk.
func unsyncedAfterCrash(choice int, unsynced []byte) []byte {
	switch choice % 4 {
	case 0:
		return nil
	case 1:
		return unsynced[:len(unsynced)/2]
	case 2:
		return make([]byte, len(unsynced))
	}
	return bytes.Clone(unsynced)
}
