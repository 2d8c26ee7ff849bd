package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Minute is a point in time, in minutes since the Unix epoch, or the length of a
// period in minutes.
type Minute int64

// MinuteOf returns the minute that contains t.
func MinuteOf(t time.Time) Minute { return Minute(t.Unix() / 60) }

// Time returns the start of m.
func (m Minute) Time() time.Time { return time.Unix(int64(m)*60, 0).UTC() }

const (
	// fineMinutes is how long data is kept at a resolution of one minute; older
	// minutes are merged into spans of coarseMinutes.
	fineMinutes   Minute = 6 * 60
	coarseMinutes Minute = 10
	// retentionMinutes is how long data is kept: the longest window of a burn rate.
	retentionMinutes Minute = 3 * 24 * 60
	// maxFutureMinutes bounds how far the clock of an instance may be ahead.
	maxFutureMinutes Minute = 5
)

// Batch holds the counts of one minute of one incarnation of an instance, which is
// one run of its process. A batch that arrives more than once is counted once.
type Batch struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	// Incarnation changes with each start of the instance.
	Incarnation string     `cbor:"2,keyasint"`
	Minute      Minute     `cbor:"3,keyasint"`
	Data        BucketData `cbor:"4,keyasint"`
}

// Span is a bucket of counts of the whole fleet for a period of time.
type Span struct {
	Start Minute
	Width Minute
	// Batches is the number of batches merged into the span. A period without
	// batches has no span and appears as a gap.
	Batches int
	bucket  *Bucket
}

// watermark is the latest minute counted for an instance. Batches of one
// incarnation arrive in order, so all minutes up to it have been counted.
type watermark struct {
	incarnation string
	minute      Minute
}

// Store holds the buckets of the whole fleet. It is not safe for concurrent use.
type Store struct {
	spans      map[Minute]*Span
	watermarks map[model.InstanceID]watermark
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		spans:      make(map[Minute]*Span),
		watermarks: make(map[model.InstanceID]watermark),
	}
}

// Accept counts the batch unless it was counted before or its minute is out of
// bounds. It reports whether the batch was counted.
func (s *Store) Accept(batch Batch, now Minute) (bool, error) {
	if batch.Minute > now+maxFutureMinutes || batch.Minute <= now-retentionMinutes {
		return false, nil
	}
	mark, ok := s.watermarks[batch.Instance]
	if ok && mark.incarnation == batch.Incarnation && batch.Minute <= mark.minute {
		return false, nil
	}
	b, err := batch.Data.Bucket()
	if err != nil {
		return false, err
	}
	span := s.spanAt(batch.Minute, now)
	if err := span.bucket.Merge(b); err != nil {
		return false, err
	}
	span.Batches++
	s.watermarks[batch.Instance] = watermark{batch.Incarnation, batch.Minute}
	return true, nil
}

// spanAt returns the span that contains m, and creates it if there is none.
func (s *Store) spanAt(m, now Minute) *Span {
	start, width := m, Minute(1)
	if m <= now-fineMinutes {
		start, width = m-m%coarseMinutes, coarseMinutes
	}
	span, ok := s.spans[start]
	if !ok {
		span = &Span{Start: start, Width: width, bucket: NewBucket()}
		s.spans[start] = span
	}
	return span
}

// Advance merges minutes older than fineMinutes into coarse spans and drops data
// older than the longest window.
func (s *Store) Advance(now Minute) error {
	for start, span := range s.spans {
		switch {
		case start <= now-retentionMinutes:
			delete(s.spans, start)
		case span.Width == 1 && start-start%coarseMinutes+coarseMinutes <= now-fineMinutes:
			if err := s.coarsen(span); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Store) coarsen(span *Span) error {
	delete(s.spans, span.Start)
	start := span.Start - span.Start%coarseMinutes
	coarse, ok := s.spans[start]
	if !ok {
		span.Start, span.Width = start, coarseMinutes
		s.spans[start] = span
		return nil
	}
	coarse.Width = coarseMinutes
	coarse.Batches += span.Batches
	return coarse.bucket.Merge(span.bucket)
}

// since returns the spans that start after now-window and not after now, sorted by
// start.
func (s *Store) since(now, window Minute) []*Span {
	var spans []*Span
	for span := range maps.Values(s.spans) {
		if span.Start > now-window && span.Start <= now {
			spans = append(spans, span)
		}
	}
	slices.SortFunc(spans, func(a, b *Span) int { return cmp.Compare(a.Start, b.Start) })
	return spans
}

// StoreData is the serializable form of a store, sent to an aggregator that has
// restarted.
type StoreData struct {
	Spans      []SpanData      `cbor:"1,keyasint"`
	Watermarks []WatermarkData `cbor:"2,keyasint"`
}

// SpanData is the serializable form of a span.
type SpanData struct {
	Start   Minute     `cbor:"1,keyasint"`
	Width   Minute     `cbor:"2,keyasint"`
	Batches int        `cbor:"3,keyasint"`
	Data    BucketData `cbor:"4,keyasint"`
}

// WatermarkData is the latest minute counted for one instance.
type WatermarkData struct {
	Instance    model.InstanceID `cbor:"1,keyasint"`
	Incarnation string           `cbor:"2,keyasint"`
	Minute      Minute           `cbor:"3,keyasint"`
}

// Data returns the serializable form of s.
func (s *Store) Data() StoreData {
	var d StoreData
	for _, span := range s.spans {
		d.Spans = append(d.Spans, SpanData{span.Start, span.Width, span.Batches, span.bucket.Data()})
	}
	for id, mark := range s.watermarks {
		d.Watermarks = append(d.Watermarks, WatermarkData{id, mark.incarnation, mark.minute})
	}
	return d
}

// Store decodes d.
func (d StoreData) Store() (*Store, error) {
	s := NewStore()
	for _, span := range d.Spans {
		b, err := span.Data.Bucket()
		if err != nil {
			return nil, err
		}
		s.spans[span.Start] = &Span{span.Start, span.Width, span.Batches, b}
	}
	for _, mark := range d.Watermarks {
		s.watermarks[mark.Instance] = watermark{mark.Incarnation, mark.Minute}
	}
	return s, nil
}
