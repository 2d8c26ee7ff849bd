package journal

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/consensus"
)

// PendingSnapshot is a snapshot of the own state on its way to the disk.
type PendingSnapshot struct {
	meta         consensus.SnapshotMeta
	firstSegment uint64
	record       snapshotRecord
	bytes        int
}

// Meta returns what the snapshot covers.
func (p *PendingSnapshot) Meta() consensus.SnapshotMeta { return p.meta }

// Bytes returns the size of the file, once it is written.
func (p *PendingSnapshot) Bytes() int { return p.bytes }

// PrepareSnapshot begins a new segment, so that all earlier ones may go once
// the snapshot covers them.
func (j *Journal) PrepareSnapshot(s consensus.Snapshot) (*PendingSnapshot, error) {
	if j.failed != nil {
		return nil, j.failed
	}
	if err := j.rotate(); err != nil {
		return nil, j.fail("begin segment", err)
	}
	first := j.firstNeeded(s.Meta.Index)
	return &PendingSnapshot{
		meta:         s.Meta,
		firstSegment: first,
		record:       snapshotRecord{Format: format, Disk: j.disk, FirstSegment: first, Snapshot: s},
	}, nil
}

// firstNeeded returns the oldest segment with entries after index.
func (j *Journal) firstNeeded(index uint64) uint64 {
	for _, s := range j.segments {
		if s.last > index {
			return s.sequence
		}
	}
	return j.segments[len(j.segments)-1].sequence
}

// WriteSnapshot writes the snapshot beside the one in place. It may run in
// another goroutine than the rest.
func (j *Journal) WriteSnapshot(p *PendingSnapshot) error {
	content, err := encodeSnapshot(&p.record)
	if err != nil {
		return err
	}
	p.bytes = len(content)
	if err := writeFile(j.files, j.path(snapshotTemporary), content); err != nil {
		return asFailure("write snapshot", j.folder, err)
	}
	return nil
}

// CommitSnapshot puts a written snapshot in place and removes the segments that
// it covers. A snapshot older than the one in place is dropped.
func (j *Journal) CommitSnapshot(p *PendingSnapshot) error {
	if j.failed != nil {
		return j.failed
	}
	if p.meta.Index <= j.snapshotIndex {
		return nil
	}
	if err := moveFile(j.files, j.folder, snapshotTemporary, snapshotName); err != nil {
		return j.fail("replace snapshot", err)
	}
	return j.dropBefore(p.meta.Index, p.firstSegment)
}

// Install replaces the whole journal by a snapshot of the leader. The rename of
// the snapshot file is the moment at which the old log stops to count: the file
// names the new segment as the first one.
func (j *Journal) Install(s consensus.Snapshot, h consensus.HardState) error {
	if j.failed != nil {
		return j.failed
	}
	if err := j.rotate(); err != nil {
		return j.fail("begin segment", err)
	}
	first := j.segments[len(j.segments)-1].sequence
	content, err := encodeSnapshot(&snapshotRecord{Format: format, Disk: j.disk, FirstSegment: first, Snapshot: s})
	if err != nil {
		return j.fail("encode snapshot", err)
	}
	if err := replaceFile(j.files, j.folder, installTemporary, snapshotName, content); err != nil {
		return j.fail("replace snapshot", err)
	}
	if err := j.dropBefore(s.Meta.Index, first); err != nil {
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

// ReadSnapshot returns the snapshot in place. It may run in another goroutine
// than the rest.
func (j *Journal) ReadSnapshot() (consensus.Snapshot, error) {
	r, err := j.readSnapshot()
	if err != nil {
		return consensus.Snapshot{}, asFailure("read snapshot", j.folder, err)
	}
	return r.Snapshot, nil
}

// dropBefore removes the segments before first. Their removal need not be
// durable, since the snapshot file says that they do not count.
func (j *Journal) dropBefore(index, first uint64) error {
	j.snapshotIndex = index
	for len(j.segments) > 0 && j.segments[0].sequence < first {
		name := j.path(segmentName(j.segments[0].sequence))
		if err := j.files.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return j.fail("remove segment", err)
		}
		j.segments = j.segments[1:]
	}
	return nil
}
