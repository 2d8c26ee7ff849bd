package journal

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/consensus"
)

// PendingSnapshot is a snapshot of the member's own state that is not yet in use.
type PendingSnapshot struct {
	meta         consensus.SnapshotMeta
	firstSegment uint64
	record       snapshotRecord
	bytes        int
	// logBytes is the size of the log that the snapshot lets go.
	logBytes int64
}

// Meta returns the index, term and membership that the snapshot covers.
func (p *PendingSnapshot) Meta() consensus.SnapshotMeta { return p.meta }

// Bytes returns the size of the file, once it is written.
func (p *PendingSnapshot) Bytes() int { return p.bytes }

// PrepareSnapshot starts a new segment, so that all earlier ones can be removed
// once the snapshot covers them. After ErrFull it may be called again.
func (j *Journal) PrepareSnapshot(s consensus.Snapshot) (*PendingSnapshot, error) {
	if j.writeErr != nil {
		return nil, j.writeErr
	}
	if err := j.rotateForSnapshot(); err != nil {
		return nil, j.fail("begin segment", err)
	}
	before := j.logBytes
	j.logBytes = j.offset
	first := j.oldestNeededSegment(s.Meta.Index)
	return &PendingSnapshot{
		meta:         s.Meta,
		firstSegment: first,
		record:       snapshotRecord{Format: formatVersion, Disk: j.disk, FirstSegment: first, Snapshot: s},
		logBytes:     before - j.offset,
	}, nil
}

// rotateForSnapshot starts a new segment. It starts none after an abandoned snapshot,
// since a disk that stays full would otherwise get one with each attempt.
func (j *Journal) rotateForSnapshot() error {
	if j.snapshotAbandoned {
		return j.writeHeader()
	}
	return j.rotate()
}

// AbandonSnapshot gives up a snapshot after ErrFull. Its log counts again in LogBytes.
func (j *Journal) AbandonSnapshot(p *PendingSnapshot) {
	j.removeTempSnapshot()
	if p.meta.Index <= j.snapshotIndex {
		return
	}
	j.logBytes += p.logBytes
	j.snapshotAbandoned = true
}

// oldestNeededSegment returns the oldest segment with entries after index.
func (j *Journal) oldestNeededSegment(index uint64) uint64 {
	for _, s := range j.segments {
		if s.lastIndex > index {
			return s.sequence
		}
	}
	return j.segments[len(j.segments)-1].sequence
}

// WriteSnapshot writes the snapshot to a temporary file. It may run concurrently
// with the other methods.
func (j *Journal) WriteSnapshot(p *PendingSnapshot) error {
	content, err := encodeSnapshot(&p.record)
	if err != nil {
		return err
	}
	p.bytes = len(content)
	if err := writeFile(j.fileSystem, j.path(snapshotTempName), content); err != nil {
		return wrapFailure("write snapshot", j.folder, err)
	}
	return nil
}

// CommitSnapshot makes a written snapshot the current one and removes the segments
// that it covers. It ignores a snapshot that is not newer than the current one. After
// ErrFull the snapshot has to be abandoned.
func (j *Journal) CommitSnapshot(p *PendingSnapshot) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if p.meta.Index <= j.snapshotIndex {
		j.removeTempSnapshot()
		return nil
	}
	if err := renameDurably(j.fileSystem, j.folder, snapshotTempName, snapshotName); err != nil {
		return j.fail("replace snapshot", err)
	}
	j.snapshotAbandoned = false
	return j.removeSegmentsBefore(p.meta.Index, p.firstSegment)
}

// removeTempSnapshot gives back the space of a snapshot that is not used. If it fails, the
// next snapshot or the next start removes the file.
func (j *Journal) removeTempSnapshot() {
	_ = j.fileSystem.Remove(j.path(snapshotTempName))
}

// Install replaces the whole journal by a snapshot from the leader. The rename of
// the snapshot file makes the old log obsolete: the new file records the new
// segment as the first one in use. After ErrFull Install has to be called again, and
// nothing else before.
func (j *Journal) Install(s consensus.Snapshot, h consensus.HardState) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if err := j.rotate(); err != nil {
		return j.fail("begin segment", err)
	}
	first := j.segments[len(j.segments)-1].sequence
	content, err := encodeSnapshot(&snapshotRecord{Format: formatVersion, Disk: j.disk, FirstSegment: first, Snapshot: s})
	if err != nil {
		return j.fail("encode snapshot", err)
	}
	if err := replaceFile(j.fileSystem, j.folder, installTempName, snapshotName, content); err != nil {
		return j.fail("replace snapshot", err)
	}
	j.logBytes = j.offset
	j.snapshotAbandoned = false
	if err := j.removeSegmentsBefore(s.Meta.Index, first); err != nil {
		return err
	}
	return j.Append(&h, nil)
}

func encodeSnapshot(r *snapshotRecord) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if len(payload) > maxPayloadBytes {
		return nil, fmt.Errorf("snapshot of %d bytes is too large", len(payload))
	}
	return appendFrame(nil, 0, payload), nil
}

// ReadSnapshot returns the current snapshot. It may run concurrently with the
// other methods.
func (j *Journal) ReadSnapshot() (consensus.Snapshot, error) {
	r, err := j.readSnapshot()
	if err != nil {
		return consensus.Snapshot{}, wrapFailure("read snapshot", j.folder, err)
	}
	return r.Snapshot, nil
}

// removeSegmentsBefore removes the segments before first. The removal need not be
// durable, because the snapshot file records the first segment in use.
func (j *Journal) removeSegmentsBefore(index, first uint64) error {
	j.snapshotIndex = index
	for len(j.segments) > 0 && j.segments[0].sequence < first {
		j.obsolete = append(j.obsolete, j.segments[0].sequence)
		j.segments = j.segments[1:]
	}
	return j.removeObsoleteSegments()
}

// removeObsoleteSegments removes the files of segments that are out of use. Some file
// systems need space to remove a file; what cannot be removed is tried again after the
// next snapshot.
func (j *Journal) removeObsoleteSegments() error {
	for len(j.obsolete) > 0 {
		err := j.fileSystem.Remove(j.path(segmentName(j.obsolete[0])))
		if isNoSpace(err) {
			return nil
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return j.fail("remove segment", err)
		}
		j.obsolete = j.obsolete[1:]
	}
	return nil
}
