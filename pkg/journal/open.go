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
	if o.Files == nil {
		o.Files = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.NewDisk == nil {
		o.NewDisk = func() model.DiskID { return model.DiskID(uuid.NewString()) }
	}
}

// Open locks the data folder and reads it. An empty folder is given an identity.
func Open(o Options) (*Journal, *Restored, error) {
	o.setDefaults()
	j := &Journal{files: o.Files, folder: o.Folder, segmentBytes: o.SegmentBytes}
	restored, err := j.open(o.NewDisk)
	if err != nil {
		return nil, nil, errors.Join(asFailure("open data folder", o.Folder, err), j.Close())
	}
	return j, restored, nil
}

func (j *Journal) open(newDisk func() model.DiskID) (*Restored, error) {
	if err := j.files.MakeFolder(j.folder); err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	lock, err := j.files.Lock(j.path(lockName))
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	j.lock = lock
	names, err := j.cleanNames()
	if err != nil {
		return nil, err
	}
	if names.isNew(j) {
		return j.create(names, newDisk)
	}
	return j.read(names)
}

// folderNames are the files that count in a data folder.
type folderNames struct {
	disk, snapshot bool
	segments       []uint64
}

// cleanNames lists the folder and removes temporary files of a crash.
func (j *Journal) cleanNames() (*folderNames, error) {
	names, err := j.files.List(j.folder)
	if err != nil {
		return nil, fmt.Errorf("list folder: %w", err)
	}
	found := &folderNames{}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := j.files.Remove(j.path(name)); err != nil {
				return nil, fmt.Errorf("remove %s: %w", name, err)
			}
		case name == diskName:
			found.disk = true
		case name == snapshotName:
			found.snapshot = true
		case strings.HasPrefix(name, segmentPrefix):
			sequence, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 16, 64)
			if err != nil {
				return nil, damaged(name, "no segment has this name")
			}
			found.segments = append(found.segments, sequence)
		}
	}
	return found, nil
}

// isNew reports whether the folder was never written, or its first writing was
// not finished: the disk file comes last.
func (n *folderNames) isNew(j *Journal) bool {
	if n.disk || n.snapshot || len(n.segments) > 1 {
		return false
	}
	if len(n.segments) == 0 {
		return true
	}
	content, err := j.files.Read(j.path(segmentName(n.segments[0])))
	return err == nil && n.segments[0] == firstSegmentSequence && len(content) == 0
}

// create gives a new folder its identity. The disk file is written once the
// first segment is there, so that a folder with a disk file and no segment can
// only be one that lost its log.
func (j *Journal) create(names *folderNames, newDisk func() model.DiskID) (*Restored, error) {
	j.disk = newDisk()
	empty, err := j.files.Append(j.path(segmentName(firstSegmentSequence)))
	if err != nil {
		return nil, fmt.Errorf("create first segment: %w", err)
	}
	if err := errors.Join(empty.Sync(), empty.Close(), j.files.SyncFolder(j.folder)); err != nil {
		return nil, fmt.Errorf("create first segment: %w", err)
	}
	content, err := json.Marshal(diskRecord{Format: format, Disk: j.disk})
	if err != nil {
		return nil, fmt.Errorf("encode disk identity: %w", err)
	}
	if err := replaceFile(j.files, j.folder, diskTemporary, diskName, content); err != nil {
		return nil, err
	}
	names.segments = []uint64{firstSegmentSequence}
	restored, err := j.read(names)
	if err != nil {
		return nil, err
	}
	restored.New = true
	return restored, nil
}

// read restores the state of a folder with an identity.
func (j *Journal) read(names *folderNames) (*Restored, error) {
	if err := j.readDisk(names); err != nil {
		return nil, err
	}
	restored := &Restored{}
	first := uint64(firstSegmentSequence)
	if names.snapshot {
		s, err := j.readSnapshot()
		if err != nil {
			return nil, err
		}
		first = s.FirstSegment
		restored.State.Snapshot, restored.SnapshotData = s.Snapshot.Meta, s.Snapshot.Data
		j.snapshotIndex = s.Snapshot.Meta.Index
	}
	replayed, err := j.readSegments(names.segments, first)
	if err != nil {
		return nil, err
	}
	restored.State.HardState, restored.State.Entries = replayed.hardState, replayed.entries
	return restored, nil
}

func (j *Journal) readDisk(names *folderNames) error {
	if !names.disk && j.disk == "" {
		return damaged(diskName, "the file is missing but there is a log")
	}
	content, err := j.files.Read(j.path(diskName))
	if err != nil {
		return fmt.Errorf("read disk identity: %w", err)
	}
	var d diskRecord
	if err := json.Unmarshal(content, &d); err != nil {
		return damaged(diskName, "%w", err)
	}
	if d.Format != format || d.Disk == "" {
		return damaged(diskName, "format %d of disk %q is not known", d.Format, d.Disk)
	}
	j.disk = d.Disk
	return nil
}

func (j *Journal) readSnapshot() (*snapshotRecord, error) {
	content, err := j.files.Read(j.path(snapshotName))
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	s := new(snapshotRecord)
	end, err := decodeFrames(content, func(payload []byte) error { return decodeMode.Unmarshal(payload, s) })
	if err != nil {
		return nil, damaged(snapshotName, "%w", err)
	}
	if end == 0 || end != int64(len(content)) {
		return nil, damaged(snapshotName, "the file ends at %d of %d bytes", end, len(content))
	}
	if s.Format != format || s.Disk != j.disk {
		return nil, damaged(snapshotName, "format %d of disk %q does not belong here", s.Format, s.Disk)
	}
	return s, nil
}

// readSegments replays the segments from first on and opens the last one.
func (j *Journal) readSegments(sequences []uint64, first uint64) (*replay, error) {
	r := &replay{snapshot: j.snapshotIndex}
	next := first
	for i, sequence := range sequences {
		if sequence < first {
			if err := j.files.Remove(j.path(segmentName(sequence))); err != nil {
				return nil, fmt.Errorf("remove %s: %w", segmentName(sequence), err)
			}
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
		return nil, damaged(segmentName(next), "the segment is missing")
	}
	return r, nil
}

// readSegment replays one segment. Only the last one may have a torn end.
func (j *Journal) readSegment(r *replay, sequence uint64, last bool) error {
	name := segmentName(sequence)
	content, err := j.files.Read(j.path(name))
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	s := segmentReader{journal: j, replay: r, segment: segment{sequence: sequence}}
	end, err := decodeFrames(content, s.take)
	if err != nil {
		return damaged(name, "%w", err)
	}
	torn := end < int64(len(content))
	if !last && (torn || end == 0) {
		return damaged(name, "the segment ends at offset %d, and others follow it", end)
	}
	j.segments = append(j.segments, s.segment)
	if last {
		j.hardState = r.hardState
		return j.resume(name, end, torn)
	}
	return nil
}

// segmentReader takes the records of one segment.
type segmentReader struct {
	journal *Journal
	replay  *replay
	segment segment
	started bool
}

func (s *segmentReader) take(payload []byte) error {
	rec := new(record)
	if err := decodeMode.Unmarshal(payload, rec); err != nil {
		return err
	}
	if !s.started {
		want := segmentHeader{Format: format, Sequence: s.segment.sequence, Disk: s.journal.disk}
		if rec.Segment == nil || *rec.Segment != want {
			return errors.New("segment header does not belong here")
		}
		s.started = true
	}
	for _, e := range rec.Entries {
		s.segment.last = max(s.segment.last, e.Index)
	}
	return s.replay.take(rec)
}

// resume opens the last segment for appending, without its torn end.
func (j *Journal) resume(name string, end int64, torn bool) error {
	f, err := j.files.Append(j.path(name))
	if err != nil {
		return fmt.Errorf("open %s: %w", name, err)
	}
	j.file, j.offset = f, end
	if torn {
		if err := errors.Join(f.Truncate(end), f.Sync()); err != nil {
			return fmt.Errorf("cut %s: %w", name, err)
		}
		events.Emit(events.JournalTruncated, name, end)
	}
	if end > 0 {
		return nil
	}
	return j.writeHeader()
}

// writeHeader begins a segment whose creation a crash cut short.
func (j *Journal) writeHeader() error {
	current := j.segments[len(j.segments)-1]
	header := &segmentHeader{Format: format, Sequence: current.sequence, Disk: j.disk}
	return j.write(&record{Segment: header, HardState: &j.hardState})
}
