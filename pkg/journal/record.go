package journal

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// formatVersion is the version of the file format. Files of other versions are
// rejected.
const formatVersion = 1

// record is the payload of one frame of a segment.
type record struct {
	// Segment is set in the first record of a segment only.
	Segment   *segmentHeader       `cbor:"1,keyasint,omitempty"`
	HardState *consensus.HardState `cbor:"2,keyasint,omitempty"`
	// Entries replace all entries from the index of the first one on.
	Entries []consensus.Entry `cbor:"3,keyasint,omitempty"`
}

// segmentHeader identifies a segment, so that one from another folder or position
// is detected.
type segmentHeader struct {
	Format   int          `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`
	Disk     model.DiskID `cbor:"3,keyasint"`
}

// snapshotRecord is the payload of the only frame of the snapshot file.
type snapshotRecord struct {
	Format int          `cbor:"1,keyasint"`
	Disk   model.DiskID `cbor:"2,keyasint"`
	// FirstSegment is the first segment in use. Older ones are obsolete.
	FirstSegment uint64             `cbor:"3,keyasint"`
	Snapshot     consensus.Snapshot `cbor:"4,keyasint"`
}

// diskRecord is the content of the disk file.
type diskRecord struct {
	Format int          `json:"format"`
	Disk   model.DiskID `json:"disk"`
}

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("journal: decode options: %v", err))
	}
	return mode
}

// replay rebuilds the state from records in the order in which they were written.
type replay struct {
	hardState     consensus.HardState
	snapshotIndex uint64
	entries       []consensus.Entry
}

func (r *replay) applyRecord(rec *record) error {
	if rec.HardState != nil {
		r.hardState = *rec.HardState
	}
	for _, e := range rec.Entries {
		if err := r.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry truncates the log at the index of e and appends e. An entry that the
// snapshot covers still truncates the entries after it.
func (r *replay) applyEntry(e consensus.Entry) error {
	if e.Index <= r.snapshotIndex {
		r.entries = nil
		return nil
	}
	position := e.Index - r.snapshotIndex - 1
	if position > uint64(len(r.entries)) {
		return fmt.Errorf("entry %d follows entry %d", e.Index, r.snapshotIndex+uint64(len(r.entries)))
	}
	r.entries = append(r.entries[:position], e)
	return nil
}
