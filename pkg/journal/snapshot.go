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
}

// Meta returns the index, term and membership that the snapshot covers.
func (p *PendingSnapshot) Meta() consensus.SnapshotMeta { return p.meta }

// Bytes returns the size of the file, once it is written.
func (p *PendingSnapshot) Bytes() int { return p.bytes }

// PrepareSnapshot starts a new segment, so that all earlier ones can be removed
// once the snapshot covers them.
func (j *Journal) PrepareSnapshot(s consensus.Snapshot) (*PendingSnapshot, error) {
	if j.writeErr != nil {
		return nil, j.writeErr
	}
	j.logBytes = 0
	if err := j.rotate(); err != nil {
		return nil, j.fail("begin segment", err)
	}
	first := j.oldestNeededSegment(s.Meta.Index)
	return &PendingSnapshot{
		meta:         s.Meta,
		firstSegment: first,
		record:       snapshotRecord{Format: formatVersion, Disk: j.disk, FirstSegment: first, Snapshot: s},
	}, nil
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
// that it covers. It ignores a snapshot that is not newer than the current one.
func (j *Journal) CommitSnapshot(p *PendingSnapshot) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if p.meta.Index <= j.snapshotIndex {
		return nil
	}
	if err := renameDurably(j.fileSystem, j.folder, snapshotTempName, snapshotName); err != nil {
		return j.fail("replace snapshot", err)
	}
	return j.removeSegmentsBefore(p.meta.Index, p.firstSegment)
}

// Install replaces the whole journal by a snapshot from the leader. The rename of
// the snapshot file makes the old log obsolete: the new file records the new
// segment as the first one in use.
func (j *Journal) Install(s consensus.Snapshot, h consensus.HardState) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	j.logBytes = 0
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
		name := j.path(segmentName(j.segments[0].sequence))
		if err := j.fileSystem.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return j.fail("remove segment", err)
		}
		j.segments = j.segments[1:]
	}
	return nil
}
