package membudget

import (
	"math/rand/v2"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

type noEnd struct{}

func (noEnd) Read(p []byte) (int, error) { return len(p), nil }

// The buffers of messages without an end were left to the collector. On a busy machine,
// where the runtime no longer delays what allocates, they took a process beyond its memory.
func TestMessagesWithoutAnEndLeaveNoGarbage(t *testing.T) {
	g := NewWithT(t)
	const reads = 100
	b := New(8 << 20)
	var other Reservation
	g.Expect(other.Grow(b, 1)).To(Succeed())
	read := func() {
		var r Reservation
		defer r.Release()
		_, err := ReadAll(noEnd{}, UnknownLength, 8<<20, Space{Budget: b, Reservation: &r})
		g.Expect(err).To(MatchError(ErrExhausted))
	}
	read()
	before := allocatedBytes()
	for range reads {
		read()
	}
	g.Expect(allocatedBytes() - before).To(BeNumerically("<", 1<<20))
}

func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// Buffers that are kept for other messages must not take memory beyond the budget, nor
// stay when no message needs them.
func TestKeptBuffersStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	b := New(1 << 20)
	var messages [40]struct {
		reserved Reservation
		buffer   []byte
	}
	kept := int64(0)
	for range 20_000 {
		m := &messages[random.IntN(len(messages))]
		s := Space{Budget: b, Reservation: &m.reserved}
		if larger, err := enlarge(m.buffer, max(firstBytes, growthFactor*cap(m.buffer)), s); err == nil && random.IntN(4) > 0 {
			m.buffer = larger
		} else {
			s.discard(larger)
			m.buffer = nil
		}
		g.Expect(b.used.Load() + b.free.bytes.Load()).To(BeNumerically("<=", 1<<20))
		kept = max(kept, b.free.bytes.Load())
	}
	g.Expect(kept).To(BeNumerically(">", 0))
	b.Add(1 << 20)
	g.Expect(b.free.bytes.Load()).To(BeZero())
	b.Add(-1 << 20)
	b.recycle(make([]byte, firstBytes))
	for i := range messages {
		messages[i].reserved.Release()
	}
	g.Expect(b.free.bytes.Load()).To(BeZero())
}

func TestAKeptBufferIsUsedByOneMessage(t *testing.T) {
	g := NewWithT(t)
	b := New(1 << 20)
	g.Expect(b.take(1)).To(BeTrue())
	b.recycle(make([]byte, 5, firstBytes))
	first, second := b.buffer(firstBytes), b.buffer(firstBytes)
	g.Expect(first).To(BeEmpty())
	g.Expect(&first[:1][0]).NotTo(BeIdenticalTo(&second[:1][0]))
}
