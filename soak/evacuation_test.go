//go:build soak

package soak

import "time"

// evacuationBound is the time after the acknowledgement of an evacuation after which
// the targets of the availability zone must get no requests.
const evacuationBound = 5 * time.Second

// zones are the availability zones of the targets.
var zones = []string{"a", "b"}

// evacuations compares the requests that targets get with the operators' orders. The
// checker's lock guards it.
type evacuations struct {
	// acknowledged is when the newest evacuation of a zone was acknowledged; there is no
	// value once an end of it has been sent.
	acknowledged map[string]time.Time
	// lastAcknowledged is when any order was acknowledged last.
	lastAcknowledged time.Time
	// entryOf is the entry instance that a request was sent to.
	entryOf map[string]*instance
	// cases are the requests that reached an evacuated zone.
	cases int
	// runs are the requests that reached each zone since the last reset.
	runs map[string]int
}

func newEvacuations() *evacuations {
	return &evacuations{acknowledged: make(map[string]time.Time), entryOf: make(map[string]*instance), runs: make(map[string]int)}
}

// sendOrder records that an order is about to be sent.
func (c *checker) sendOrder(zone string, end bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end {
		delete(c.evacuations.acknowledged, zone)
	}
}

// acknowledgeOrder records that an order was acknowledged.
func (c *checker) acknowledgeOrder(zone string, end bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.evacuations
	e.lastAcknowledged = time.Now()
	if _, ok := e.acknowledged[zone]; !end && !ok {
		e.acknowledged[zone] = e.lastAcknowledged
	}
}

// checkEvacuation checks a request that reached a target. The caller holds the lock.
func (c *checker) checkEvacuation(id string, r run) {
	e, zone := c.evacuations, r.target.zone
	e.runs[zone]++
	acknowledged, ok := e.acknowledged[zone]
	entry := e.entryOf[id]
	if !ok || entry == nil || !c.contact.binds(entry, acknowledged, evacuationBound, r.at) {
		return
	}
	if e.cases++; e.cases <= maxFindings/4 {
		c.addFinding("request %s from entry %s reached zone %s %s after its evacuation was acknowledged",
			id, entry.ip, zone, r.at.Sub(acknowledged))
	}
}

// waitEvacuationBound waits until the newest order must be in force, and counts the
// requests to each zone from then on.
func (c *checker) waitEvacuationBound() {
	c.mu.Lock()
	inForce := c.evacuations.lastAcknowledged.Add(evacuationBound)
	c.mu.Unlock()
	time.Sleep(time.Until(inForce))
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.evacuations.runs)
}

// checkZones checks, after faults have ended and the newest orders are in force, that
// the zones whose evacuation has ended get requests again.
func (c *checker) checkZones() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, zone := range zones {
		acknowledged, evacuated := c.evacuations.acknowledged[zone]
		c.contact.log("zone %s: evacuated %t (%s), %d requests since", zone, evacuated, acknowledged.UTC().Format("15:04:05.000"), c.evacuations.runs[zone])
		if !evacuated && c.evacuations.runs[zone] == 0 {
			c.addFinding("no request reaches zone %s although the end of its evacuation was acknowledged", zone)
		}
	}
}
