package membudget

import (
	"math/bits"
	"sync"
	"sync/atomic"
)

const (
	// smallestClass and largestClass are the binary logarithms of the sizes of the buffers
	// that are kept for other messages, 4 KiB to 8 MiB.
	smallestClass, largestClass = 12, 23
)

// freeBuffers are buffers that no message uses any more, by the logarithm of their size.
// A message is read into ever larger buffers, and messages without an end leave each of
// them. Left to the collector, they fill the memory on a machine that gives it little
// processor time, since the runtime then no longer delays what allocates.
type freeBuffers struct {
	mu      sync.Mutex
	classes [largestClass - smallestClass + 1][][]byte
	bytes   atomic.Int64
}

// class returns the index of the buffers of n bytes, or false if none are kept.
func class(n int) (int, bool) {
	c := bits.Len(uint(n)) - 1
	return c - smallestClass, n > 0 && n&(n-1) == 0 && c >= smallestClass && c <= largestClass
}

// buffer returns an empty buffer for size bytes, which are reserved already.
func (b *Budget) buffer(size int) []byte {
	if kept := b.reuse(size); kept != nil {
		return kept
	}
	return make([]byte, 0, size)
}

// reuse returns a buffer of size bytes that was kept. If there is none, it drops others
// to make room for a new one, and returns nil.
func (b *Budget) reuse(size int) []byte {
	if b == nil {
		return nil
	}
	b.free.mu.Lock()
	defer b.free.mu.Unlock()
	if c, ok := class(size); ok {
		if kept := b.free.pop(c); kept != nil {
			return kept
		}
	}
	b.free.trim(b.limit - b.used.Load())
	return nil
}

// makeRoom drops kept buffers whose bytes were reserved for something else.
func (b *Budget) makeRoom() {
	if b == nil || b.free.bytes.Load() == 0 || b.used.Load()+b.free.bytes.Load() <= b.limit {
		return
	}
	b.free.mu.Lock()
	defer b.free.mu.Unlock()
	b.free.trim(b.limit - b.used.Load())
}

// dropUnused drops the buffers that were kept, since no message is being read.
func (b *Budget) dropUnused() {
	b.free.mu.Lock()
	defer b.free.mu.Unlock()
	b.free.trim(0)
}

// recycle keeps a buffer for another message, if there are others and the budget has room
// for it. The caller has returned its bytes to the budget, and no longer uses it.
func (b *Budget) recycle(buffer []byte) {
	c, ok := class(cap(buffer))
	if b == nil || !ok {
		return
	}
	b.free.mu.Lock()
	defer b.free.mu.Unlock()
	used := b.used.Load()
	if used == 0 || b.free.bytes.Load()+int64(cap(buffer)) > b.limit-used {
		return
	}
	b.free.classes[c] = append(b.free.classes[c], buffer[:0])
	b.free.bytes.Add(int64(cap(buffer)))
}

// pop removes and returns a buffer of the class, or nil if there is none.
func (f *freeBuffers) pop(c int) []byte {
	kept := f.classes[c]
	if len(kept) == 0 {
		return nil
	}
	last := len(kept) - 1
	buffer := kept[last]
	kept[last] = nil
	f.classes[c] = kept[:last]
	f.bytes.Add(-int64(cap(buffer)))
	return buffer
}

// trim drops buffers, the largest first, until they have at most limit bytes.
func (f *freeBuffers) trim(limit int64) {
	limit = max(limit, 0)
	for c := len(f.classes) - 1; c >= 0 && f.bytes.Load() > limit; {
		if f.pop(c) == nil {
			c--
		}
	}
}
