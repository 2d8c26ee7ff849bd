package httpserver

import (
	"sync/atomic"
	"time"
)

// stallDivisor is the part of the time that a client has for a write after which it
// counts as one that takes no answers.
const stallDivisor = 10

// origin is the time that others are measured from, by a clock that is never set.
var origin = time.Now()

// progress tells whether the client of a connection takes its answers. It is safe for
// concurrent use; a nil progress records nothing.
type progress struct {
	// writing counts the writes in progress. stallsAt is when they count as stalled, in
	// nanoseconds since origin.
	writing, stallsAt atomic.Int64
}

// begin notes that a write of n bytes begins.
func (p *progress) begin(n int) {
	if p != nil {
		p.extend(n)
		p.writing.Add(1)
	}
}

// end notes that a write has ended.
func (p *progress) end() {
	if p != nil {
		p.writing.Add(-1)
		p.extend(0)
	}
}

func (p *progress) extend(n int) {
	at := int64(time.Since(origin) + timeToTake(n)/stallDivisor)
	for old := p.stallsAt.Load(); at > old && !p.stallsAt.CompareAndSwap(old, at); {
		old = p.stallsAt.Load()
	}
}

// stalled reports whether a number of requests all wait for the client to take answers,
// and it has taken none for too long.
func (p *progress) stalled(requests int64) bool {
	writing := p.writing.Load()
	return writing > 0 && writing >= requests && int64(time.Since(origin)) > p.stallsAt.Load()
}
