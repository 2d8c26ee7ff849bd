package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// maxControlMembers is the bound of the long-term aim.
	maxControlMembers = 7
	// MinRenewalsPerLease is how many renewals fit into a lease, so that one lost
	// message does not end it.
	MinRenewalsPerLease = 3
	// minElectionHeartbeats likewise for elections.
	minElectionHeartbeats = 3
)

// check reports every value that has the right type but cannot work.
func (p *parser) check(s *Settings) {
	p.checkZones(s)
	p.checkInstance(s)
	p.checkPeers(s)
	p.checkControl(s)
	p.checkClocks(s)
	p.checkKeys(s.Keys)
	p.checkLog(s.Log)
	p.checkCallers(s.Callers)
	p.checkCollections(s.Collections)
}

func (p *parser) required(path string, missing bool) {
	if missing && !p.mentions(path) {
		p.report(path, "missing", "give it a value")
	}
}

// mentions reports whether path already has a mistake, so that a value of the
// wrong type is not called missing as well.
func (p *parser) mentions(path string) bool {
	return slices.ContainsFunc(p.mistakes, func(m Diagnostic) bool { return m.Path == path })
}

func (p *parser) positive(path string, ok bool, mend string) {
	if !ok && !p.mentions(path) {
		p.report(path, "not greater than zero", mend)
	}
}

func (p *parser) fraction(path string, v float64) {
	if v < 0 || v > 1 {
		p.report(path, fmt.Sprintf("%g is not a share", v), "write a number from 0 to 1")
	}
}

func (p *parser) checkZones(s *Settings) {
	if len(s.AvailabilityZones) == 0 {
		p.required("availabilityZones", true)
	}
	seen := make(map[model.AvailabilityZoneID]bool)
	for i, zone := range s.AvailabilityZones {
		p.unique(fmt.Sprintf("availabilityZones[%d]", i), string(zone), seen[zone])
		seen[zone] = true
	}
}

func (p *parser) unique(path, id string, seen bool) {
	if id == "" {
		p.required(path, true)
		return
	}
	if seen {
		p.report(path, fmt.Sprintf("%q is given twice", id), "choose another id or remove one of them")
	}
}

func (p *parser) declaredZone(s *Settings, path string, zone model.AvailabilityZoneID) {
	if zone == "" {
		p.required(path, true)
		return
	}
	if !slices.Contains(s.AvailabilityZones, zone) {
		p.report(path, fmt.Sprintf("availability zone %q is not declared", zone), "add it to availabilityZones or mend the name")
	}
}

func (p *parser) checkInstance(s *Settings) {
	i := s.Instance
	p.required("instance.id", i.ID == "")
	if !slices.Contains(AllRoles, i.Role) {
		p.report("instance.role", fmt.Sprintf("unknown role %q", i.Role), `leave it out, or write "entry" or "control"`)
	}
	p.declaredZone(s, "instance.availabilityZone", i.AvailabilityZone)
	p.required("instance.meshListen", !i.MeshListen.IsValid())
	p.required("instance.callerListen", !i.CallerListen.IsValid())
	p.required("instance.adminListen", !i.AdminListen.IsValid())
	p.positive("instance.maxInFlight", i.MaxInFlight > 0, "allow at least one query")
	if i.CallerListen.IsValid() && clash(i.CallerListen, i.AdminListen) {
		p.report("instance.adminListen", "same port as callerListen", "choose another port")
	}
	if i.MeshListen.IsValid() && !i.MeshAdvertise.IsValid() && i.MeshListen.Addr().IsUnspecified() {
		p.report("instance.meshListen", "peers cannot reach the unspecified address", "set meshAdvertise to the address that peers reach")
	}
}

// clash reports whether two TCP listeners cannot both be opened.
func clash(a, b netip.AddrPort) bool {
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
		p.unique(path+"id", string(peer.ID), ids[peer.ID])
		p.declaredZone(s, path+"availabilityZone", peer.AvailabilityZone)
		p.required(path+"meshAddress", !peer.MeshAddress.IsValid())
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
		p.required("control.members", true)
		return
	}
	if len(members)%2 == 0 || len(members) > maxControlMembers {
		p.report("control.members", fmt.Sprintf("%d members", len(members)), "name 1, 3, 5 or 7 instances")
	}
	for i, id := range members {
		path := fmt.Sprintf("control.members[%d]", i)
		p.unique(path, string(id), slices.Contains(members[:i], id))
		if id != s.Instance.ID && !hasPeer(s.Peers, id) {
			p.report(path, fmt.Sprintf("%q is not among the peers", id), "add it to peers or mend the name")
		}
	}
	if s.IsControlMember() {
		p.required("dataFolder", s.DataFolder == "")
	}
}

func hasPeer(peers []Peer, id model.InstanceID) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}

func (p *parser) checkClocks(s *Settings) {
	const mend = "write a time greater than zero"
	p.positive("control.electionTimeout", s.Control.ElectionTimeout > 0, mend)
	p.positive("control.heartbeat", s.Control.Heartbeat > 0, mend)
	p.positive("control.snapshotEvery", s.Control.SnapshotEvery > 0, "write a whole number greater than zero")
	p.positive("control.claimRetention", s.Control.ClaimRetention > 0, mend)
	p.positive("lease.renew", s.Lease.Renew > 0, mend)
	p.positive("lease.duration", s.Lease.Duration > 0, mend)
	p.positive("platform.poll", s.Platform.Poll > 0, mend)
	p.positive("stop.finish", s.Stop.Finish > 0, mend)
	p.required("platform.address", !s.Platform.Address.IsValid())
	p.atLeast("lease.duration", s.Lease.Duration, MinRenewalsPerLease, s.Lease.Renew, "lease.renew")
	p.atLeast("control.electionTimeout", s.Control.ElectionTimeout, minElectionHeartbeats, s.Control.Heartbeat, "control.heartbeat")
}

func (p *parser) atLeast(path string, value Duration, factor int, unit Duration, unitPath string) {
	least := Duration(factor) * unit
	if value > 0 && value < least {
		p.report(path, fmt.Sprintf("shorter than %d times %s", factor, unitPath),
			fmt.Sprintf("write at least %q", time.Duration(least).String()))
	}
}

func (p *parser) checkKeys(k Keys) {
	p.required("keys.authority", k.Authority == "")
	p.required("keys.certificate", k.Certificate == "")
	p.required("keys.key", k.Key == "")
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
		p.unique(path+"id", string(c.ID), seen[c.ID])
		seen[c.ID] = true
		if c.LimitPerSecond < 0 || (c.LimitPerSecond == 0 && p.present(path+"limitPerSecond")) {
			p.report(path+"limitPerSecond", "limit of zero or less", "write a rate greater than zero or leave the field out")
		}
	}
}

func (p *parser) checkCollections(collections []Collection) {
	if len(collections) == 0 {
		p.required("collections", true)
	}
	seen := make(map[model.CollectionID]bool)
	for i, c := range collections {
		path := fmt.Sprintf("collections[%d].", i)
		p.unique(path+"id", string(c.ID), seen[c.ID])
		seen[c.ID] = true
		p.checkShape(path, c)
		p.checkHedge(path+"hedge", c.Hedge)
		p.checkObjectives(path, c)
	}
}

func (p *parser) checkHedge(path string, h *Hedge) {
	switch {
	case h == nil || h.Mode == "none" || h.Mode == "adaptive":
	case h.Mode == "fixed":
		p.positive(path+".delay", h.Delay > 0, `write a time such as "20ms"`)
	default:
		p.report(path+".mode", fmt.Sprintf("%q is not a mode", h.Mode), `write "none", "fixed" or "adaptive"`)
	}
}

func (p *parser) checkShape(path string, c Collection) {
	const mend = "write a whole number greater than zero"
	p.positive(path+"services", c.Services > 0, mend)
	p.positive(path+"leaves", c.Leaves > 0, mend)
	p.positive(path+"slots", c.Slots > 0, mend)
	p.positive(path+"connections", c.Connections > 0, mend)
	p.positive(path+"coldLoad", c.ColdLoad > 0, mend)
	p.positive(path+"deadline", c.Deadline > 0, `write a time such as "1s"`)
	if c.Concurrency < 0 || (c.Concurrency == 0 && p.present(path+"concurrency")) {
		p.report(path+"concurrency", "limit of zero or less", mend+" or leave the field out")
	}
	if c.ConnectTime < 0 {
		p.report(path+"connectTime", "less than zero", `write a time such as "6ms"`)
	}
	if c.Policy != PreferTime && c.Policy != PreferCoverage {
		p.report(path+"policy", fmt.Sprintf("%q is not a policy", c.Policy), `write "time" or "coverage"`)
	}
	p.fraction(path+"minCoverage", c.MinCoverage)
	p.fraction(path+"hedgeBudget", c.HedgeBudget)
}

func (p *parser) checkObjectives(path string, c Collection) {
	o := c.Objectives
	path += "objectives."
	p.positive(path+"latency", o.Latency > 0, `write a time such as "100ms"`)
	p.fraction(path+"coverage", o.Coverage)
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
