//go:build soak

package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// contactWindow is how long an instance must have been undisturbed, and the
	// control group too, before bounds on time hold for the instance.
	contactWindow = 4 * time.Second
	// maxStretch is the most by which a disturbed control group extends a bound, as
	// long as a majority of its instances is undisturbed.
	maxStretch = 12 * time.Second
)

// contact records when instances were disturbed, which decides whether a bound on
// time holds for an entry instance. It writes all that happens to timeline.log.
type contact struct {
	t        *testing.T
	timeline *os.File

	mu        sync.Mutex
	instances map[*instance]*disturbance
	// lostMost is when all control instances were killed at once, at the end of the faults.
	lostMost time.Time
}

// disturbance is the last disturbance of an instance.
type disturbance struct {
	at            time.Time
	frozen, ended bool
}

func newContact(t *testing.T, folder string) *contact {
	file, err := os.Create(filepath.Join(folder, "timeline.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return &contact{t: t, timeline: file, instances: make(map[*instance]*disturbance)}
}

// log writes a line to timeline.log.
func (c *contact) log(format string, args ...any) {
	_, _ = fmt.Fprintf(c.timeline, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// disturb records a signal to an instance.
func (c *contact) disturb(n *instance, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.instances[n]
	d.at = time.Now()
	switch s {
	case syscall.SIGSTOP:
		d.frozen = true
	case syscall.SIGCONT:
		d.frozen = false
	default:
		d.ended = true
	}
	c.log("%s gets %s", n.ip, s)
}

// loseMost records that all control instances are killed at once.
func (c *contact) loseMost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostMost = time.Now()
}

// started records that an instance's process starts. The function that it returns
// reports whether a signal has asked this process to end.
func (c *contact) started(n *instance) (ended func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disturbance{at: time.Now()}
	c.instances[n] = d
	c.log("%s starts", n.ip)
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return d.ended
	}
}

// isCalm reports whether an instance has run undisturbed since a time. The caller
// holds the lock.
func (c *contact) isCalm(n *instance, since time.Time) bool {
	d := c.instances[n]
	return !d.frozen && !d.ended && d.at.Before(since)
}

// calmMembers returns the number of control instances that have run undisturbed since
// a time. The caller holds the lock.
func (c *contact) calmMembers(since time.Time) int {
	count := 0
	for n := range c.instances {
		if n.member && c.isCalm(n, since) {
			count++
		}
	}
	return count
}

// caughtUp reports whether an instance that lost its disk has had its catch-up time
// beside a majority.
func (c *contact) caughtUp(n *instance, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Add(-catchUpTime)
	return c.isCalm(n, since) && c.calmMembers(since) > controlCount/2
}

// binds reports whether an order that was acknowledged at a time must be in force at
// an entry instance by now. The bound holds for an entry in touch: undisturbed for
// contactWindow, as is every control instance, and for twice as long after the loss of
// all of them at once. The bound is extended by maxStretch if only a majority of the
// control instances has been undisturbed since catchUpTime before the acknowledgement;
// otherwise more instances are lost at once than the system is to bear.
func (c *contact) binds(entry *instance, acknowledged time.Time, bound time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, age := now.Add(-contactWindow), now.Sub(acknowledged)
	switch {
	case !c.isCalm(entry, since) || now.Sub(c.lostMost) < 2*contactWindow:
		return false
	case c.calmMembers(since) == controlCount:
		return age > bound
	default:
		return age > bound+maxStretch && c.calmMembers(acknowledged.Add(-catchUpTime)) > controlCount/2
	}
}
