package burn

import (
	"fmt"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

const (
	// relativeAccuracy is the relative error bound of latency quantiles.
	relativeAccuracy = 0.01
	// maxValuesPerDimension bounds the distinct values of one dimension of an
	// objective of a collection in a bucket; further values are counted under
	// OtherValue.
	maxValuesPerDimension = 32
)

// OtherValue aggregates the values beyond maxValuesPerDimension.
const OtherValue = "other"

// Objective names a service-level objective of a collection.
type Objective string

// Objectives of a collection.
const (
	ObjectiveLatency  Objective = "latency"
	ObjectiveCoverage Objective = "coverage"
	ObjectiveOrders   Objective = "orders"
)

// Dimension is a property of requests by which the counts of an objective are
// broken down. The empty dimension is the total.
type Dimension string

// Dimensions of an objective.
const (
	DimensionTotal            Dimension = ""
	DimensionAvailabilityZone Dimension = "availabilityZone"
	DimensionVersion          Dimension = "version"
	DimensionRoute            Dimension = "route"
	DimensionCaller           Dimension = "caller"
)

// Series identifies one row of counts.
type Series struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Objective  Objective          `cbor:"2,keyasint"`
	Dimension  Dimension          `cbor:"3,keyasint,omitempty"`
	Value      string             `cbor:"4,keyasint,omitempty"`
}

// Counts holds the numbers of requests that met and that missed an objective.
type Counts struct {
	Good uint64 `json:"good" cbor:"1,keyasint"`
	Bad  uint64 `json:"bad" cbor:"2,keyasint"`
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.Good + c.Bad }

// Bucket holds the counts and latencies of a span of time.
type Bucket struct {
	counts      map[Series]*Counts
	valueCounts map[Series]int
	latencies   map[model.CollectionID]*ddsketch.DDSketch
}

// NewBucket returns an empty bucket.
func NewBucket() *Bucket {
	return &Bucket{
		counts:      make(map[Series]*Counts),
		valueCounts: make(map[Series]int),
		latencies:   make(map[model.CollectionID]*ddsketch.DDSketch),
	}
}

// Observe counts o as good or bad for each of the objectives it applies to.
func (b *Bucket) Observe(o Observation, objectives settings.Objectives) {
	if o.Kind == KindOrder {
		b.count(o, ObjectiveOrders, !o.Failed)
		return
	}
	b.count(o, ObjectiveLatency, !o.Failed && o.Latency <= objectives.Latency.Std())
	b.count(o, ObjectiveCoverage, !o.Failed && o.Coverage >= objectives.Coverage)
	// Add fails only for values outside the range of a latency.
	_ = b.sketch(o.Collection).Add(float64(o.Latency.Microseconds()))
}

func (b *Bucket) count(o Observation, objective Objective, good bool) {
	c := Counts{Good: 1}
	if !good {
		c = Counts{Bad: 1}
	}
	b.add(Series{Collection: o.Collection, Objective: objective}, c)
	split := []struct {
		dimension Dimension
		value     string
	}{
		{DimensionAvailabilityZone, string(o.AvailabilityZone)},
		{DimensionVersion, string(o.Version)},
		{DimensionRoute, string(o.Route)},
		{DimensionCaller, string(o.Caller)},
	}
	for _, s := range split {
		b.add(Series{o.Collection, objective, s.dimension, s.value}, c)
	}
}

// add adds c to s, or to OtherValue if the dimension has reached its bound.
func (b *Bucket) add(s Series, c Counts) {
	counts, ok := b.counts[s]
	if !ok {
		dimension := Series{s.Collection, s.Objective, s.Dimension, ""}
		if b.valueCounts[dimension] >= maxValuesPerDimension {
			s.Value = OtherValue
		}
		b.valueCounts[dimension]++
		if counts, ok = b.counts[s]; !ok {
			counts = new(Counts)
			b.counts[s] = counts
		}
	}
	counts.Add(c)
}

func (b *Bucket) sketch(c model.CollectionID) *ddsketch.DDSketch {
	s, ok := b.latencies[c]
	if !ok {
		s = newSketch()
		b.latencies[c] = s
	}
	return s
}

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.NewDefaultDDSketch(relativeAccuracy)
	if err != nil {
		panic(fmt.Sprintf("burn: sketch with accuracy %g: %v", relativeAccuracy, err))
	}
	return s
}

// Merge adds other to b.
func (b *Bucket) Merge(other *Bucket) error {
	for s, c := range other.counts {
		b.add(s, *c)
	}
	for id, s := range other.latencies {
		if err := b.sketch(id).MergeWith(s); err != nil {
			return fmt.Errorf("merge latencies of %s: %w", id, err)
		}
	}
	return nil
}

// BucketData is the serializable form of a bucket, sent between instances.
type BucketData struct {
	Rows      []Row           `cbor:"1,keyasint"`
	Latencies []LatencySketch `cbor:"2,keyasint"`
}

// Row is a series with its counts.
type Row struct {
	Series Series `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// LatencySketch is the encoded DDSketch of a collection's latencies, in µs.
type LatencySketch struct {
	Collection model.CollectionID `cbor:"1,keyasint"`
	Sketch     []byte             `cbor:"2,keyasint"`
}

// Data returns the serializable form of b.
func (b *Bucket) Data() BucketData {
	var d BucketData
	for s, c := range b.counts {
		d.Rows = append(d.Rows, Row{s, *c})
	}
	for id, s := range b.latencies {
		var encoded []byte
		s.Encode(&encoded, false)
		d.Latencies = append(d.Latencies, LatencySketch{id, encoded})
	}
	return d
}

// Bucket decodes d.
func (d BucketData) Bucket() (*Bucket, error) {
	b := NewBucket()
	for _, row := range d.Rows {
		b.add(row.Series, row.Counts)
	}
	for _, l := range d.Latencies {
		s, err := ddsketch.DecodeDDSketch(l.Sketch, store.DefaultProvider, nil)
		if err != nil {
			return nil, fmt.Errorf("decode latencies of %s: %w", l.Collection, err)
		}
		b.latencies[l.Collection] = s
	}
	return b, nil
}
