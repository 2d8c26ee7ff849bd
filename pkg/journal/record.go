package journal

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// format is the version of the files. A newer one is refused.
const format = 1

// record is one frame of a segment.
type record struct {
	// Segment is set in the first record of a segment only.
	Segment   *segmentHeader       `cbor:"1,keyasint,omitempty"`
	HardState *consensus.HardState `cbor:"2,keyasint,omitempty"`
	// Entries replace everything from the first one's index on.
	Entries []consensus.Entry `cbor:"3,keyasint,omitempty"`
}

// segmentHeader keeps segments of different folders and places apart.
type segmentHeader struct {
	Format   int          `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`
	Disk     model.DiskID `cbor:"3,keyasint"`
}

// snapshotRecord is the only frame of the snapshot file.
type snapshotRecord struct {
	Format int          `cbor:"1,keyasint"`
	Disk   model.DiskID `cbor:"2,keyasint"`
	// FirstSegment is the first segment that counts. Older ones are left over.
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

// replay rebuilds the state from records in the order of writing.
type replay struct {
	hardState consensus.HardState
	snapshot  uint64
	entries   []consensus.Entry
}

func (r *replay) take(rec *record) error {
	if rec.HardState != nil {
		r.hardState = *rec.HardState
	}
	for _, e := range rec.Entries {
		if err := r.takeEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// takeEntry cuts the log before e and adds it. Entries that the snapshot covers
// still cut what follows them.
func (r *replay) takeEntry(e consensus.Entry) error {
	if e.Index <= r.snapshot {
		r.entries = nil
		return nil
	}
	position := e.Index - r.snapshot - 1
	if position > uint64(len(r.entries)) {
		return fmt.Errorf("entry %d follows entry %d", e.Index, r.snapshot+uint64(len(r.entries)))
	}
	r.entries = append(r.entries[:position], e)
	return nil
}
