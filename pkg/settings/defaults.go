package settings

import (
	"fmt"
	"time"
)

// Defaults of optional fields.
const (
	defaultMaxInFlight      = 256
	defaultElectionTimeout  = Duration(1 * time.Second)
	defaultHeartbeat        = Duration(200 * time.Millisecond)
	defaultSnapshotEvery    = 4096
	defaultClaimRetention   = Duration(48 * time.Hour)
	defaultLeaseRenew       = Duration(500 * time.Millisecond)
	defaultLeaseDuration    = Duration(2 * time.Second)
	defaultPlatformPoll     = Duration(1 * time.Second)
	defaultBalancerLag      = Duration(5 * time.Second)
	defaultStopGrace        = Duration(35 * time.Second)
	defaultDeadline         = Duration(1 * time.Second)
	defaultColdLoad         = 2
	defaultHedgeBudget      = 0.05
	defaultObjectiveLatency = Duration(100 * time.Millisecond)
	defaultObjectiveShare   = 0.99
)

// applyDefaults sets fields that the file omits. A field that is explicitly zero
// stays zero, so that the checks can reject it.
func (p *parser) applyDefaults(s *Settings) {
	setDefault(p, "instance.maxInFlight", &s.Instance.MaxInFlight, defaultMaxInFlight)
	setDefault(p, "control.electionTimeout", &s.Control.ElectionTimeout, defaultElectionTimeout)
	setDefault(p, "control.heartbeat", &s.Control.Heartbeat, defaultHeartbeat)
	setDefault(p, "control.snapshotEvery", &s.Control.SnapshotEvery, defaultSnapshotEvery)
	setDefault(p, "control.claimRetention", &s.Control.ClaimRetention, defaultClaimRetention)
	setDefault(p, "lease.renew", &s.Lease.Renew, defaultLeaseRenew)
	setDefault(p, "lease.duration", &s.Lease.Duration, defaultLeaseDuration)
	setDefault(p, "platform.poll", &s.Platform.Poll, defaultPlatformPoll)
	setDefault(p, "platform.balancerLag", &s.Platform.BalancerLag, defaultBalancerLag)
	setDefault(p, "stop.grace", &s.Stop.Grace, defaultStopGrace)
	setDefault(p, "log.format", &s.Log.Format, "json")
	setDefault(p, "log.level", &s.Log.Level, "info")
	for i := range s.Collections {
		p.applyCollectionDefaults(fmt.Sprintf("collections[%d].", i), &s.Collections[i])
	}
}

func (p *parser) applyCollectionDefaults(path string, c *Collection) {
	setDefault(p, path+"deadline", &c.Deadline, defaultDeadline)
	setDefault(p, path+"coldLoad", &c.ColdLoad, defaultColdLoad)
	setDefault(p, path+"policy", &c.Policy, PreferTime)
	setDefault(p, path+"hedgeBudget", &c.HedgeBudget, defaultHedgeBudget)
	setDefault(p, path+"objectives.latency", &c.Objectives.Latency, defaultObjectiveLatency)
	setDefault(p, path+"objectives.latencyShare", &c.Objectives.LatencyShare, defaultObjectiveShare)
	setDefault(p, path+"objectives.coverage", &c.Objectives.Coverage, 1)
	setDefault(p, path+"objectives.coverageShare", &c.Objectives.CoverageShare, defaultObjectiveShare)
	setDefault(p, path+"objectives.orderShare", &c.Objectives.OrderShare, defaultObjectiveShare)
}

func setDefault[T any](p *parser, path string, field *T, value T) {
	if !p.isSet(path) {
		*field = value
	}
}
