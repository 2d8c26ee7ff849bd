// Package journal keeps the durable state of a control member in one data
// folder: the disk's identity, a snapshot, and a log in append-only segments.
//
// Each write is synced before the next begins, so a crash can tear only the end
// of the last segment; that end was never acknowledged and is truncated at start.
// Any other inconsistency is an error. After a failed write or sync nothing more
// is written, because the page cache and the disk may then differ. The exception is a
// write that finds the disk full: it is undone and may be repeated, see ErrFull.
package journal

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// Names of the files in the data folder, and the size and numbering of segments.
const (
	lockName             = "lock"
	diskName             = "disk.json"
	snapshotName         = "snapshot"
	segmentPrefix        = "log-"
	tempSuffix           = ".tmp"
	diskTempName         = diskName + tempSuffix
	snapshotTempName     = snapshotName + tempSuffix
	installTempName      = "install" + tempSuffix
	defaultSegmentBytes  = 8 << 20
	segmentNameDigits    = 16
	firstSegmentSequence = 1
)

// Options configure a journal.
type Options struct {
	Folder     string
	FileSystem FileSystem
	// SegmentBytes is the size after which a new segment begins.
	SegmentBytes int64
	// NewDiskID returns the identity for a new folder.
	NewDiskID func() model.DiskID
}

// Journal is an open data folder. It is used by one goroutine, except that
// WriteSnapshot and ReadSnapshot may run concurrently with the other methods.
type Journal struct {
	fileSystem   FileSystem
	folder       string
	segmentBytes int64
	lock         File
	disk         model.DiskID

	// segments are the segments in use, oldest first; the last one is open.
	segments []segment
	// obsolete are the sequences of segments out of use whose files are still there.
	obsolete []uint64
	file     File
	// offset is where the next frame is written; it is 0 until the segment has a header.
	offset int64
	// headerEnd is the offset after the header of the last segment.
	headerEnd int64
	hardState consensus.HardState
	// snapshotIndex is the index of the current snapshot.
	snapshotIndex uint64
	// logBytes is the size of the log written since the newest snapshot was begun.
	logBytes int64
	// snapshotAbandoned is set while the segments before the last one can be removed by a
	// snapshot that could not be written.
	snapshotAbandoned bool
	writeErr          error
}

type segment struct {
	sequence uint64
	// lastIndex is the largest index of an entry in the segment.
	lastIndex uint64
}

// Restored is the state that was read from the folder when it was opened.
type Restored struct {
	// New is set if the folder was initialized by this call.
	New   bool
	State consensus.PersistentState
	// SnapshotData belongs to State.Snapshot.
	SnapshotData []byte
}

// Disk returns the identity of the data folder.
func (j *Journal) Disk() model.DiskID { return j.disk }

// LogBytes returns the size of the log written since the newest snapshot was begun, in
// this process or before: what a restart replays, and what a snapshot lets go.
func (j *Journal) LogBytes() int64 { return j.logBytes }

// Append writes entries and the hard state, either of which may be nil, and
// syncs them with one call. After ErrFull nothing was written and Append may be
// called again.
func (j *Journal) Append(h *consensus.HardState, entries []consensus.Entry) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if j.offset >= j.segmentBytes {
		if err := j.openNextSegment(); err != nil {
			return j.fail("begin segment", err)
		}
	}
	if err := j.writeHeader(); err != nil {
		return j.fail("begin segment", err)
	}
	if err := j.write(&record{HardState: h, Entries: entries}); err != nil {
		return j.fail("append", err)
	}
	if h != nil {
		j.hardState = *h
	}
	if len(entries) > 0 {
		current := &j.segments[len(j.segments)-1]
		current.lastIndex = max(current.lastIndex, entries[len(entries)-1].Index)
	}
	return nil
}

// write appends one frame and syncs it.
func (j *Journal) write(r *record) error {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	frame := appendFrame(nil, j.offset, payload)
	if _, err := j.file.Write(frame); err != nil {
		return j.undoWrite(err)
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.offset += int64(len(frame))
	j.logBytes += int64(len(frame))
	return nil
}

// undoWrite removes the part of a frame that a full disk left. It is synced, because
// parts of two different frames at one offset would read as damage after a crash.
func (j *Journal) undoWrite(cause error) error {
	if !isNoSpace(cause) {
		return cause
	}
	if err := errors.Join(j.file.Truncate(j.offset), j.file.Sync()); err != nil {
		return errors.Join(cause, err)
	}
	return errFull(cause)
}

// openNextSegment creates a new segment. Its header is written by writeHeader.
func (j *Journal) openNextSegment() error {
	sequence := uint64(firstSegmentSequence)
	if n := len(j.segments); n > 0 {
		sequence = j.segments[n-1].sequence + 1
	}
	f, err := j.fileSystem.OpenForAppend(j.path(segmentName(sequence)))
	if isNoSpace(err) {
		return errFull(err)
	}
	if err != nil {
		return err
	}
	previous := j.file
	j.file, j.offset, j.headerEnd = f, 0, 0
	j.segments = append(j.segments, segment{sequence: sequence})
	if previous == nil {
		return nil
	}
	return previous.Close()
}

// writeHeader writes the header of the last segment unless it has one. The header
// holds a copy of the hard state, so that older segments can be removed.
func (j *Journal) writeHeader() error {
	if j.offset > 0 {
		return nil
	}
	current := j.segments[len(j.segments)-1]
	header := &segmentHeader{Format: formatVersion, Sequence: current.sequence, Disk: j.disk}
	if err := j.write(&record{Segment: header, HardState: &j.hardState}); err != nil {
		return err
	}
	j.headerEnd = j.offset
	return j.fileSystem.SyncFolder(j.folder)
}

// rotate starts a new segment, unless the last one has only a header, or not even that.
func (j *Journal) rotate() error {
	if j.offset > j.headerEnd {
		if err := j.openNextSegment(); err != nil {
			return err
		}
	}
	return j.writeHeader()
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%0*x", segmentPrefix, segmentNameDigits, sequence)
}

func (j *Journal) path(name string) string { return filepath.Join(j.folder, name) }

// fail makes every later write return err, unless it is ErrFull.
func (j *Journal) fail(step string, err error) error {
	failed := wrapFailure(step, j.folder, err)
	if !errors.Is(err, ErrFull) {
		j.writeErr = failed
	}
	return failed
}

// Close releases the folder for other processes. It writes nothing.
func (j *Journal) Close() error {
	var errs []error
	if j.file != nil {
		errs = append(errs, j.file.Close())
		j.file = nil
	}
	if j.lock != nil {
		errs = append(errs, j.lock.Close())
		j.lock = nil
	}
	if j.writeErr == nil {
		j.writeErr = errors.New("journal is closed")
	}
	return errors.Join(errs...)
}
