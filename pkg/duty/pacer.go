package duty

import (
	"slices"
	"time"
)

// Answer is the platform's answer to a call.
type Answer uint8

// Answers to a call.
const (
	// Accepted: the call was carried out, now or by an earlier copy of it.
	Accepted Answer = iota
	// Superseded: the platform has seen a higher token.
	Superseded
	// Limited: calls are above the platform's rate limit.
	Limited
	// Failed: there was no reply, or the platform failed. The call may have been carried
	// out, or may still be.
	Failed
	// Rejected: the platform does not take this call.
	Rejected
)

var answerNames = map[Answer]string{Accepted: "accepted", Superseded: "superseded", Limited: "limited", Failed: "failed", Rejected: "rejected"}

// String returns the name of the answer in events, metrics and the status.
func (a Answer) String() string { return answerNames[a] }

const (
	// firstBackoff is the delay after the first call that was not accepted. It doubles
	// with each further one, up to maxBackoff.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Pacer decides which call a holder makes next. The zero value is ready to use.
type Pacer struct {
	// Interval is the shortest time between two calls.
	Interval time.Duration
	// notBefore is when the next call may be made, and failures counts the calls without
	// success since the last accepted one.
	notBefore time.Duration
	failures  int
	// rejected holds when calls that the platform rejected may be made again.
	rejected map[uint64]rejection
}

type rejection struct {
	count     int
	notBefore time.Duration
}

// Next returns the call to make now, given the numbers of all calls that were not
// accepted, oldest first. It returns false if there is none, or none may be made yet.
// A call that the platform rejects does not hold up the others.
func (p *Pacer) Next(now time.Duration, calls []uint64) (uint64, bool) {
	if now < p.notBefore {
		return 0, false
	}
	for _, call := range calls {
		if now >= p.rejected[call].notBefore {
			return call, true
		}
	}
	return 0, false
}

// Record records the answer to a call. retryAfter is the delay that the platform asked
// for, 0 if it named none.
func (p *Pacer) Record(now time.Duration, call uint64, a Answer, retryAfter time.Duration) {
	p.notBefore = now + p.Interval
	switch a {
	case Accepted:
		p.failures = 0
		delete(p.rejected, call)
	case Rejected:
		p.failures = 0
		p.reject(now, call)
	default:
		p.failures++
		p.notBefore = now + max(p.Interval, backoff(p.failures), min(retryAfter, maxBackoff))
	}
}

func (p *Pacer) reject(now time.Duration, call uint64) {
	if p.rejected == nil {
		p.rejected = make(map[uint64]rejection)
	}
	n := p.rejected[call].count + 1
	p.rejected[call] = rejection{count: n, notBefore: now + backoff(n)}
}

// Retain forgets the rejections of calls that are not among the given ones.
func (p *Pacer) Retain(calls []uint64) {
	for call := range p.rejected {
		if !slices.Contains(calls, call) {
			delete(p.rejected, call)
		}
	}
}

// backoff returns the delay after the nth call in a row without success.
func backoff(n int) time.Duration {
	d := firstBackoff
	for i := 1; i < n && d < maxBackoff; i++ {
		d *= 2
	}
	return min(d, maxBackoff)
}
