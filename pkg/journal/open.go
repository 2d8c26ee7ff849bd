package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
)

func (o *Options) setDefaults() {
	if o.FileSystem == nil {
		o.FileSystem = OSFileSystem{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.NewDiskID == nil {
		o.NewDiskID = func() model.DiskID { return model.DiskID(uuid.NewString()) }
	}
}

// Open locks the data folder and reads it. It assigns an identity to an empty
// folder.
func Open(o Options) (*Journal, *Restored, error) {
	o.setDefaults()
	j := &Journal{fileSystem: o.FileSystem, folder: o.Folder, segmentBytes: o.SegmentBytes}
	restored, err := j.open(o.NewDiskID)
	if err != nil {
		return nil, nil, errors.Join(wrapFailure("open data folder", o.Folder, err), j.Close())
	}
	return j, restored, nil
}

func (j *Journal) open(newDisk func() model.DiskID) (*Restored, error) {
	if err := j.fileSystem.MakeFolder(j.folder); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	lock, err := j.fileSystem.Lock(j.path(lockName))
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	j.lock = lock
	contents, err := j.scanFolder()
	if err != nil {
		return nil, err
	}
	if contents.isNew(j) {
		return j.create(contents, newDisk)
	}
	return j.read(contents)
}

// folderContents lists the journal files in a data folder.
type folderContents struct {
	disk, snapshot bool
	segments       []uint64
}

// scanFolder lists the folder and removes temporary files that a crash left.
func (j *Journal) scanFolder() (*folderContents, error) {
	names, err := j.fileSystem.List(j.folder)
	if err != nil {
		return nil, fmt.Errorf("list folder: %w", err)
	}
	found := &folderContents{}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			if err := j.fileSystem.Remove(j.path(name)); err != nil && !isNoSpace(err) {
				return nil, fmt.Errorf("remove %s: %w", name, err)
			}
		case name == diskName:
			found.disk = true
		case name == snapshotName:
			found.snapshot = true
		case strings.HasPrefix(name, segmentPrefix):
			sequence, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 16, 64)
			if err != nil {
				return nil, errDamaged(name, "the name is not that of a segment")
			}
			found.segments = append(found.segments, sequence)
		}
	}
	return found, nil
}

// isNew reports whether the folder was never initialized, or its initialization
// was interrupted: the disk file is written last.
func (c *folderContents) isNew(j *Journal) bool {
	if c.disk || c.snapshot || len(c.segments) > 1 {
		return false
	}
	if len(c.segments) == 0 {
		return true
	}
	content, err := j.fileSystem.Read(j.path(segmentName(c.segments[0])))
	return err == nil && c.segments[0] == firstSegmentSequence && len(content) == 0
}

// create initializes a new folder. The disk file is written after the first
// segment exists, so that a folder with a disk file and no segment must have lost
// its log.
func (j *Journal) create(contents *folderContents, newDisk func() model.DiskID) (*Restored, error) {
	j.disk = newDisk()
	empty, err := j.fileSystem.OpenForAppend(j.path(segmentName(firstSegmentSequence)))
	if err != nil {
		return nil, fmt.Errorf("create first segment: %w", err)
	}
	if err := errors.Join(empty.Sync(), empty.Close(), j.fileSystem.SyncFolder(j.folder)); err != nil {
		return nil, fmt.Errorf("create first segment: %w", err)
	}
	content, err := json.Marshal(diskRecord{Format: formatVersion, Disk: j.disk})
	if err != nil {
		return nil, fmt.Errorf("encode disk identity: %w", err)
	}
	if err := replaceFile(j.fileSystem, j.folder, diskTempName, diskName, content); err != nil {
		return nil, err
	}
	contents.segments = []uint64{firstSegmentSequence}
	restored, err := j.read(contents)
	if err != nil {
		return nil, err
	}
	restored.New = true
	return restored, nil
}

// read restores the state of an initialized folder.
func (j *Journal) read(contents *folderContents) (*Restored, error) {
	if err := j.readDiskID(contents); err != nil {
		return nil, err
	}
	restored := &Restored{}
	first := uint64(firstSegmentSequence)
	if contents.snapshot {
		s, err := j.readSnapshot()
		if err != nil {
			return nil, err
		}
		first = s.FirstSegment
		restored.State.Snapshot, restored.SnapshotData = s.Snapshot.Meta, s.Snapshot.Data
		restored.State.SnapshotBytes = len(s.Snapshot.Data)
		j.snapshotIndex = s.Snapshot.Meta.Index
	}
	replayed, err := j.readSegments(contents.segments, first)
	if err != nil {
		return nil, err
	}
	restored.State.HardState, restored.State.Entries = replayed.hardState, replayed.entries
	return restored, nil
}

func (j *Journal) readDiskID(contents *folderContents) error {
	if !contents.disk && j.disk == "" {
		return errDamaged(diskName, "the file is missing but a log exists")
	}
	content, err := j.fileSystem.Read(j.path(diskName))
	if err != nil {
		return fmt.Errorf("read disk identity: %w", err)
	}
	var d diskRecord
	if err := json.Unmarshal(content, &d); err != nil {
		return errDamaged(diskName, "%w", err)
	}
	if d.Format != formatVersion || d.Disk == "" {
		return errDamaged(diskName, "format %d or disk %q is not valid", d.Format, d.Disk)
	}
	j.disk = d.Disk
	return nil
}

func (j *Journal) readSnapshot() (*snapshotRecord, error) {
	content, err := j.fileSystem.Read(j.path(snapshotName))
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	s := new(snapshotRecord)
	end, err := decodeFrames(content, func(payload []byte) error { return decodeMode.Unmarshal(payload, s) })
	if err != nil {
		return nil, errDamaged(snapshotName, "%w", err)
	}
	if end == 0 || end != int64(len(content)) {
		return nil, errDamaged(snapshotName, "valid data ends at %d of %d bytes", end, len(content))
	}
	if s.Format != formatVersion || s.Disk != j.disk {
		return nil, errDamaged(snapshotName, "format %d or disk %q does not match the data folder", s.Format, s.Disk)
	}
	return s, nil
}

// readSegments replays the segments starting at first and opens the last one for
// appending. It removes older segments.
func (j *Journal) readSegments(sequences []uint64, first uint64) (*replay, error) {
	r := &replay{snapshotIndex: j.snapshotIndex}
	next := first
	for i, sequence := range sequences {
		if sequence < first {
			j.obsolete = append(j.obsolete, sequence)
			continue
		}
		if sequence != next {
			break
		}
		if err := j.readSegment(r, sequence, i == len(sequences)-1); err != nil {
			return nil, err
		}
		next++
	}
	if len(j.segments) == 0 || next != sequences[len(sequences)-1]+1 {
		return nil, errDamaged(segmentName(next), "the segment is missing")
	}
	if err := j.removeObsoleteSegments(); err != nil {
		return nil, err
	}
	return r, nil
}

// readSegment replays one segment. Only the last one may have a torn end.
func (j *Journal) readSegment(r *replay, sequence uint64, last bool) error {
	name := segmentName(sequence)
	content, err := j.fileSystem.Read(j.path(name))
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	s := segmentReader{journal: j, replay: r, segment: segment{sequence: sequence}}
	end, err := decodeFrames(content, s.handleRecord)
	if err != nil {
		return errDamaged(name, "%w", err)
	}
	j.headerEnd = s.headerEnd
	torn := end < int64(len(content))
	if !last && (torn || end == 0) {
		return errDamaged(name, "the segment ends at offset %d but is not the last one", end)
	}
	j.segments = append(j.segments, s.segment)
	j.logBytes += end
	if last {
		j.hardState = r.hardState
		return j.openForAppend(name, end, torn)
	}
	return nil
}

// segmentReader replays the records of one segment.
type segmentReader struct {
	journal    *Journal
	replay     *replay
	segment    segment
	headerSeen bool
	headerEnd  int64
}

func (s *segmentReader) handleRecord(payload []byte) error {
	rec := new(record)
	if err := decodeMode.Unmarshal(payload, rec); err != nil {
		return err
	}
	if !s.headerSeen {
		want := segmentHeader{Format: formatVersion, Sequence: s.segment.sequence, Disk: s.journal.disk}
		if rec.Segment == nil || *rec.Segment != want {
			return errors.New("segment header does not match the file or the disk")
		}
		s.headerSeen = true
		s.headerEnd = frameBytes(int64(len(payload)))
	}
	for _, e := range rec.Entries {
		s.segment.lastIndex = max(s.segment.lastIndex, e.Index)
	}
	return s.replay.applyRecord(rec)
}

// openForAppend opens the last segment for appending and truncates a torn end. It needs
// no space on the disk: a header that a crash interrupted is written by the next write.
func (j *Journal) openForAppend(name string, end int64, torn bool) error {
	f, err := j.fileSystem.OpenForAppend(j.path(name))
	if err != nil {
		return fmt.Errorf("open %s: %w", name, err)
	}
	j.file, j.offset = f, end
	if torn {
		if err := errors.Join(f.Truncate(end), f.Sync()); err != nil {
			return fmt.Errorf("truncate %s: %w", name, err)
		}
		events.Emit(events.JournalTruncated, name, end)
	}
	return nil
}
