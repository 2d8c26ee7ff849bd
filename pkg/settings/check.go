package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// maxControlMembers is the largest control group that the design goals allow; it
	// tolerates the loss of 3 members.
	maxControlMembers = 7
	// MinRenewalsPerLease is the least number of renewal intervals in a lease, so
	// that one lost message does not let it expire.
	MinRenewalsPerLease = 3
	// minHeartbeatsPerElection is the least number of heartbeat intervals in an
	// election timeout, so that one lost heartbeat does not start an election.
	minHeartbeatsPerElection = 3
	// minLagsPerGrace is the least number of balancer lags in the grace of a stop, so
	// that requests that the balancer still sends have time to end.
	minLagsPerGrace = 3
)

// check reports every value that has the right type but is invalid.
func (p *parser) check(s *Settings) {
	p.checkZones(s)
	p.checkInstance(s)
	p.checkPeers(s)
	p.checkControl(s)
	p.checkDurations(s)
	p.checkKeys(s.Keys)
	p.checkLog(s.Log)
	p.checkCallers(s.Callers)
	p.checkCollections(s.Collections)
	p.checkDuties(&s.Duties)
}

func (p *parser) checkRequired(path string, missing bool) {
	if missing && !p.hasDiagnostic(path) {
		p.report(path, "missing", "give it a value")
	}
}

// hasDiagnostic reports whether an error was already reported for path, so that a
// value of the wrong type is not reported as missing too.
func (p *parser) hasDiagnostic(path string) bool {
	return slices.ContainsFunc(p.diagnostics, func(d Diagnostic) bool { return d.Path == path })
}

func (p *parser) checkPositive(path string, ok bool, fix string) {
	if !ok && !p.hasDiagnostic(path) {
		p.report(path, "not greater than zero", fix)
	}
}

func (p *parser) checkFraction(path string, v float64) {
	if v < 0 || v > 1 {
		p.report(path, fmt.Sprintf("%g is not a share", v), "write a number from 0 to 1")
	}
}

func (p *parser) checkZones(s *Settings) {
	if len(s.AvailabilityZones) == 0 {
		p.checkRequired("availabilityZones", true)
	}
	seen := make(map[model.AvailabilityZoneID]bool)
	for i, zone := range s.AvailabilityZones {
		p.checkUnique(fmt.Sprintf("availabilityZones[%d]", i), string(zone), seen[zone])
		seen[zone] = true
	}
}

func (p *parser) checkUnique(path, id string, seen bool) {
	if id == "" {
		p.checkRequired(path, true)
		return
	}
	if seen {
		p.report(path, fmt.Sprintf("%q is given twice", id), "choose another id or remove one of them")
	}
}

func (p *parser) checkZoneDeclared(s *Settings, path string, zone model.AvailabilityZoneID) {
	if zone == "" {
		p.checkRequired(path, true)
		return
	}
	if !slices.Contains(s.AvailabilityZones, zone) {
		p.report(path, fmt.Sprintf("availability zone %q is not declared", zone), "add it to availabilityZones or correct the name")
	}
}

func (p *parser) checkInstance(s *Settings) {
	i := s.Instance
	p.checkRequired("instance.id", i.ID == "")
	if !slices.Contains(AllRoles, i.Role) {
		p.report("instance.role", fmt.Sprintf("unknown role %q", i.Role), `leave it out, or write "entry" or "control"`)
	}
	p.checkZoneDeclared(s, "instance.availabilityZone", i.AvailabilityZone)
	p.checkRequired("instance.meshListen", !i.MeshListen.IsValid())
	p.checkRequired("instance.callerListen", !i.CallerListen.IsValid())
	p.checkRequired("instance.adminListen", !i.AdminListen.IsValid())
	p.checkPositive("instance.maxInFlight", i.MaxInFlight > 0, "allow at least one query")
	if i.MemoryMB < 0 {
		p.report("instance.memoryMB", "negative", "state a number of MiB, or leave it out")
	}
	if i.CallerListen.IsValid() && listenersConflict(i.CallerListen, i.AdminListen) {
		p.report("instance.adminListen", "same port as callerListen", "choose another port")
	}
	if i.MeshListen.IsValid() && !i.MeshAdvertise.IsValid() && i.MeshListen.Addr().IsUnspecified() {
		p.report("instance.meshListen", "peers cannot reach the unspecified address", "set meshAdvertise to the address that peers reach")
	}
}

// listenersConflict reports whether TCP listeners on a and b would conflict.
func listenersConflict(a, b netip.AddrPort) bool {
	if !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (p *parser) checkPeers(s *Settings) {
	ids := make(map[model.InstanceID]bool)
	addresses := make(map[netip.AddrPort]bool)
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d].", i)
		p.checkUnique(path+"id", string(peer.ID), ids[peer.ID])
		p.checkZoneDeclared(s, path+"availabilityZone", peer.AvailabilityZone)
		p.checkRequired(path+"meshAddress", !peer.MeshAddress.IsValid())
		if peer.MeshAddress.IsValid() && addresses[peer.MeshAddress] {
			p.report(path+"meshAddress", "another peer has this address", "choose another port")
		}
		ids[peer.ID] = true
		addresses[peer.MeshAddress] = true
	}
}

func (p *parser) checkControl(s *Settings) {
	members := s.Control.Members
	if len(members) == 0 {
		p.checkRequired("control.members", true)
		return
	}
	if len(members)%2 == 0 || len(members) > maxControlMembers {
		p.report("control.members", fmt.Sprintf("%d members", len(members)), "name 1, 3, 5 or 7 instances")
	}
	for i, id := range members {
		path := fmt.Sprintf("control.members[%d]", i)
		p.checkUnique(path, string(id), slices.Contains(members[:i], id))
		if id != s.Instance.ID && !hasPeer(s.Peers, id) {
			p.report(path, fmt.Sprintf("%q is not among the peers", id), "add it to peers or correct the name")
		}
	}
	if s.IsConfiguredMember() {
		p.checkRequired("dataFolder", s.DataFolder == "")
	}
}

func hasPeer(peers []Peer, id model.InstanceID) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}

func (p *parser) checkDurations(s *Settings) {
	const fix = "write a time greater than zero"
	p.checkPositive("control.electionTimeout", s.Control.ElectionTimeout > 0, fix)
	p.checkPositive("control.heartbeat", s.Control.Heartbeat > 0, fix)
	p.checkPositive("control.snapshotEvery", s.Control.SnapshotEvery > 0, "write a whole number greater than zero")
	p.checkPositive("control.claimRetention", s.Control.ClaimRetention > 0, fix)
	p.checkPositive("lease.renew", s.Lease.Renew > 0, fix)
	p.checkPositive("lease.duration", s.Lease.Duration > 0, fix)
	p.checkPositive("platform.poll", s.Platform.Poll > 0, fix)
	p.checkPositive("stop.grace", s.Stop.Grace > 0, fix)
	p.checkPositive("revocation.bound", s.Revocation.Bound > 0 || !s.Revocation.Strict && s.Revocation.Bound == 0, fix)
	p.checkRequired("platform.address", !s.Platform.Address.IsValid())
	p.checkAtLeast("lease.duration", s.Lease.Duration, MinRenewalsPerLease, s.Lease.Renew, "lease.renew")
	p.checkAtLeast("stop.grace", s.Stop.Grace, minLagsPerGrace, s.Platform.BalancerLag, "platform.balancerLag")
	p.checkAtLeast("control.electionTimeout", s.Control.ElectionTimeout, minHeartbeatsPerElection, s.Control.Heartbeat, "control.heartbeat")
}

func (p *parser) checkAtLeast(path string, value Duration, factor int, unit Duration, unitPath string) {
	minimum := Duration(factor) * unit
	if value > 0 && value < minimum {
		p.report(path, fmt.Sprintf("shorter than %d times %s", factor, unitPath),
			fmt.Sprintf("write at least %q", time.Duration(minimum).String()))
	}
}

func (p *parser) checkKeys(k Keys) {
	p.checkRequired("keys.authority", k.Authority == "")
	p.checkRequired("keys.certificate", k.Certificate == "")
	p.checkRequired("keys.key", k.Key == "")
}

func (p *parser) checkLog(l Log) {
	if l.Format != "json" && l.Format != "text" {
		p.report("log.format", fmt.Sprintf("%q is not a format", l.Format), `write "json" or "text"`)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		p.report("log.level", fmt.Sprintf("%q is not a level", l.Level), `write "debug", "info", "warn" or "error"`)
	}
}

func (p *parser) checkCallers(callers []Caller) {
	seen := make(map[model.CallerID]bool)
	for i, c := range callers {
		path := fmt.Sprintf("callers[%d].", i)
		p.checkUnique(path+"id", string(c.ID), seen[c.ID])
		seen[c.ID] = true
		if c.LimitPerSecond < 0 || (c.LimitPerSecond == 0 && p.isSet(path+"limitPerSecond")) {
			p.report(path+"limitPerSecond", "limit of zero or less", "write a rate greater than zero or leave the field out")
		}
	}
}

func (p *parser) checkCollections(collections []Collection) {
	if len(collections) == 0 {
		p.checkRequired("collections", true)
	}
	seen := make(map[model.CollectionID]bool)
	for i, c := range collections {
		path := fmt.Sprintf("collections[%d].", i)
		p.checkUnique(path+"id", string(c.ID), seen[c.ID])
		seen[c.ID] = true
		p.checkCollection(path, c)
		p.checkHedge(path+"hedge", c.Hedge)
		p.checkObjectives(path, c)
	}
}

func (p *parser) checkHedge(path string, h *Hedge) {
	switch {
	case h == nil || h.Mode == "none" || h.Mode == "adaptive":
	case h.Mode == "fixed":
		p.checkPositive(path+".delay", h.Delay > 0, `write a time such as "20ms"`)
	default:
		p.report(path+".mode", fmt.Sprintf("%q is not a mode", h.Mode), `write "none", "fixed" or "adaptive"`)
	}
}

func (p *parser) checkCollection(path string, c Collection) {
	const fix = "write a whole number greater than zero"
	p.checkPositive(path+"services", c.Services > 0, fix)
	p.checkPositive(path+"leaves", c.Leaves > 0, fix)
	p.checkPositive(path+"slots", c.Slots > 0, fix)
	p.checkPositive(path+"connections", c.Connections > 0, fix)
	p.checkPositive(path+"coldLoad", c.ColdLoad > 0, fix)
	p.checkPositive(path+"deadline", c.Deadline > 0, `write a time such as "1s"`)
	if c.Concurrency < 0 || (c.Concurrency == 0 && p.isSet(path+"concurrency")) {
		p.report(path+"concurrency", "limit of zero or less", fix+" or leave the field out")
	}
	if c.ConnectTime < 0 {
		p.report(path+"connectTime", "less than zero", `write a time such as "6ms"`)
	}
	if c.Policy != PreferTime && c.Policy != PreferCoverage {
		p.report(path+"policy", fmt.Sprintf("%q is not a policy", c.Policy), `write "time" or "coverage"`)
	}
	p.checkFraction(path+"minCoverage", c.MinCoverage)
	p.checkFraction(path+"hedgeBudget", c.HedgeBudget)
}

func (p *parser) checkObjectives(path string, c Collection) {
	o := c.Objectives
	path += "objectives."
	p.checkPositive(path+"latency", o.Latency > 0, `write a time such as "100ms"`)
	p.checkFraction(path+"coverage", o.Coverage)
	shares := []struct {
		name  string
		value float64
	}{{"latencyShare", o.LatencyShare}, {"coverageShare", o.CoverageShare}, {"orderShare", o.OrderShare}}
	for _, share := range shares {
		if share.value <= 0 || share.value >= 1 {
			p.report(path+share.name, fmt.Sprintf("%g leaves no error budget or no objective", share.value), "write a number between 0 and 1, such as 0.99")
		}
	}
}
