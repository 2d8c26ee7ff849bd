package gather

import (
	"bytes"
	"sort"
)

// RecordBytes is the length of one record. Records are compared bytewise, and the
// greatest come first in the answer; this package does not interpret them further.
const RecordBytes = 16

// Top collects the greatest records of all parts in bytewise order. Duplicates
// are kept.
type Top struct {
	limit   int
	records [][]byte
}

// NewTop returns a Top that keeps at most limit records.
func NewTop(limit int) *Top { return &Top{limit: limit} }

// Add adds the records of one part. A trailing remainder that is shorter than a
// record is ignored.
func (t *Top) Add(part []byte) {
	for len(part) >= RecordBytes {
		t.add(part[:RecordBytes])
		part = part[RecordBytes:]
	}
}

func (t *Top) add(record []byte) {
	full := len(t.records) >= t.limit
	if full && (t.limit <= 0 || bytes.Compare(record, t.records[len(t.records)-1]) <= 0) {
		return
	}
	position := sort.Search(len(t.records), func(i int) bool { return bytes.Compare(t.records[i], record) < 0 })
	if !full {
		t.records = append(t.records, nil)
	}
	copy(t.records[position+1:], t.records[position:])
	// A slice of the part would keep all of it.
	t.records[position] = bytes.Clone(record)
}

// Bytes returns the records, greatest first.
func (t *Top) Bytes() []byte { return bytes.Join(t.records, nil) }
