// Package settings parses and validates the settings of an instance. They are
// JSON with comments; docs/CONFIG.md describes each field.
package settings

import (
	"net/netip"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Settings holds all settings of one instance.
type Settings struct {
	Instance Instance `json:"instance"`
	// DataFolder is the folder of the durable state; empty on instances without a
	// disk.
	DataFolder string `json:"dataFolder,omitempty"`
	// AvailabilityZones declares every zone that other fields may refer to.
	AvailabilityZones []model.AvailabilityZoneID `json:"availabilityZones"`
	// Peers are the instances known at start; this one may be among them.
	Peers       []Peer       `json:"peers"`
	Control     Control      `json:"control"`
	Lease       Lease        `json:"lease"`
	Keys        Keys         `json:"keys"`
	Platform    Platform     `json:"platform"`
	Callers     []Caller     `json:"callers,omitempty"`
	Collections []Collection `json:"collections"`
	Log         Log          `json:"log"`
	Stop        Stop         `json:"stop"`
	RetryBudget RetryBudget  `json:"retryBudget,omitzero"`
	Revocation  Revocation   `json:"revocation,omitzero"`
	Duties      Duties       `json:"duties,omitzero"`
}

// Revocation limits how long a caller's key can be used after it was removed.
type Revocation struct {
	// Strict means that an entry instance whose last successful renewal is older than
	// Bound refuses the requests that need a key.
	Strict bool     `json:"strict,omitempty"`
	Bound  Duration `json:"bound,omitempty"`
}

// RetryBudget limits the extra requests that the fleet sends to a service in any
// window: Ratio times its requests, plus Slack.
type RetryBudget struct {
	Window Duration `json:"window"`
	// Ratio is a share from 0 to 1.
	Ratio float64 `json:"ratio"`
	// Slack is a constant number of requests.
	Slack float64 `json:"slack"`
}

// Role selects the modules that an instance loads.
type Role string

// Roles of an instance.
const (
	// RoleStandalone serves callers and may be a control member, so that a fleet
	// needs no instances in other roles. It is the default.
	RoleStandalone Role = ""
	// RoleEntry serves callers on a platform that has control members of its own.
	RoleEntry Role = "entry"
	// RoleControl is a control member that serves no callers.
	RoleControl Role = "control"
)

// AllRoles are the roles of modules that every instance loads.
var AllRoles = []Role{RoleStandalone, RoleEntry, RoleControl}

// Instance describes this process: its identity, zone, addresses and limits.
type Instance struct {
	// Role selects the modules; a file may leave it out.
	Role Role `json:"role,omitempty"`
	// NamedByAddress means that the ID of every instance is its IP address and
	// that all instances listen for peers on the port of MeshListen. Peers then
	// needs no entry for an instance to be reachable.
	NamedByAddress   bool                     `json:"namedByAddress,omitempty"`
	ID               model.InstanceID         `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	// MemoryMB is the memory that the process may use, in MiB; 0 means not stated. A
	// quarter of it is for message bodies, and from 0.6 of it on unused memory is
	// collected at once.
	MemoryMB int `json:"memoryMB,omitempty"`
	// MeshListen is the UDP address for other instances.
	MeshListen netip.AddrPort `json:"meshListen"`
	// MeshAdvertise is the address advertised to peers; empty means MeshListen.
	MeshAdvertise netip.AddrPort `json:"meshAdvertise,omitzero"`
	// CallerListen is the TCP address for callers.
	CallerListen netip.AddrPort `json:"callerListen"`
	// AdminListen is the TCP address for operators, with mutual TLS.
	AdminListen netip.AddrPort `json:"adminListen"`
	// ReadyListen is the TCP address for the balancer's readiness checks in the
	// role entry; a standalone instance answers them on CallerListen.
	ReadyListen netip.AddrPort `json:"readyListen,omitzero"`
	// MetricsListen is the TCP address for metrics and the status in the roles entry
	// and control; empty means that they are not served. A standalone instance
	// serves metrics on CallerListen.
	MetricsListen netip.AddrPort `json:"metricsListen,omitzero"`
	// DisableUDPOffload turns off segmentation offload for QUIC.
	DisableUDPOffload bool `json:"disableUDPOffload,omitempty"`
	// MaxInFlight limits the queries in progress at this instance.
	MaxInFlight int `json:"maxInFlight"`
}

// Peer is the known address of another instance.
type Peer struct {
	ID               model.InstanceID         `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
	MeshAddress      netip.AddrPort           `json:"meshAddress"`
}

// Control configures the control group, whose members replicate the journal.
type Control struct {
	// Members are the initial voters: 1, 3, 5 or 7 instances among the peers.
	// They bootstrap the group once; later changes go through the admin API.
	Members []model.InstanceID `json:"members"`
	// Rejoin means that Members are only contacts through which the group is
	// found: this instance does not take part in bootstrapping a group.
	Rejoin bool `json:"rejoin,omitempty"`
	// Voters is the number of voters that the group reaches and maintains
	// automatically, from instances that offer to join; 0 leaves membership to
	// operators.
	Voters int `json:"voters,omitempty"`
	// ElectionTimeout is the minimum time without a heartbeat after which a
	// follower starts an election.
	ElectionTimeout Duration `json:"electionTimeout"`
	// Heartbeat is the leader's interval between heartbeats.
	Heartbeat Duration `json:"heartbeat"`
	// SnapshotEvery is the number of journal entries between snapshots.
	SnapshotEvery int `json:"snapshotEvery"`
	// ClaimRetention is how long order claims are kept.
	ClaimRetention Duration `json:"claimRetention"`
}

// Lease sets the renewal interval and the duration of the leases of instances that
// serve callers.
type Lease struct {
	Renew    Duration `json:"renew"`
	Duration Duration `json:"duration"`
	// ConnectionRelease is how long a target may count the connections of a process that
	// has ended without closing them; 0 means restarts.DefaultRelease.
	ConnectionRelease Duration `json:"connectionRelease,omitzero"`
}

// Keys names the files for mutual TLS.
type Keys struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// AuthorityKey, if set, is the private key of the authority; the instance
	// then issues its own certificate at start and needs only Authority besides.
	// Only the settings made from the platform's file leave out Certificate and Key;
	// the check of a settings file requires both.
	AuthorityKey string `json:"authorityKey,omitempty"`
}

// Platform configures how the platform's list is read.
type Platform struct {
	Address netip.AddrPort `json:"address"`
	Poll    Duration       `json:"poll"`
	// BalancerLag is how long the load balancer may keep sending requests after
	// this instance stops being ready.
	BalancerLag Duration `json:"balancerLag"`
}

// Caller sets the priority of a known caller.
type Caller struct {
	ID model.CallerID `json:"id"`
	// Priority is 0 for the most important work; larger numbers are shed first.
	Priority int `json:"priority"`
	// LimitPerSecond limits the caller's requests across the whole fleet; 0 means
	// no limit.
	LimitPerSecond float64 `json:"limitPerSecond,omitempty"`
}

// Policy selects what happens to a query that lacks leaves at its deadline.
type Policy string

// Policies of a collection.
const (
	// PreferTime returns a partial answer at the deadline.
	PreferTime Policy = "time"
	// PreferCoverage fails a query whose coverage is below the collection's
	// MinCoverage.
	PreferCoverage Policy = "coverage"
)

// Collection describes the shape and the limits of a collection. A collection is
// split into Services x Leaves shards; each has Slots replicas, the targets.
type Collection struct {
	ID       model.CollectionID `json:"id"`
	Services int                `json:"services"`
	// Leaves is the number of leaves in each service.
	Leaves int `json:"leaves"`
	// Slots is the number of replicas of each leaf; each replica is a target.
	Slots int `json:"slots"`
	// Concurrency limits the requests in progress at one target, across the
	// fleet; 0 means that only Connections limits them.
	Concurrency int `json:"concurrency,omitempty"`
	// Connections is the number of connections that one target accepts.
	Connections int `json:"connections"`
	// ConnectTime is the typical time to open a connection to a target.
	ConnectTime Duration `json:"connectTime"`
	// ColdLoad is the number of concurrent requests that a cold target can handle,
	// across the fleet.
	ColdLoad int `json:"coldLoad"`
	// Deadline applies to requests without a deadline of their own.
	Deadline    Duration `json:"deadline"`
	Policy      Policy   `json:"policy"`
	MinCoverage float64  `json:"minCoverage"`
	// HedgeBudget limits the hedges per leaf request, from 0 to 1.
	HedgeBudget float64 `json:"hedgeBudget"`
	// Hedge selects when leaf requests are hedged; without it they are hedged
	// adaptively.
	Hedge *Hedge `json:"hedge,omitempty"`
	// ProbeNewRequests sends a request that this instance has not seen answered
	// to one leaf before the others. It limits how many targets a request that
	// crashes targets can take down, and adds the latency of one leaf to new
	// requests.
	ProbeNewRequests bool       `json:"probeNewRequests,omitempty"`
	Objectives       Objectives `json:"objectives"`
}

// Hedge selects when a leaf request is sent a second time.
type Hedge struct {
	// Mode is "none", "fixed" or "adaptive".
	Mode string `json:"mode"`
	// Delay applies to the mode "fixed".
	Delay Duration `json:"delay,omitempty"`
}

// Objectives are the service-level objectives of a collection. Shares are
// fractions of requests, from 0 to 1.
type Objectives struct {
	Latency      Duration `json:"latency"`
	LatencyShare float64  `json:"latencyShare"`
	// Coverage is the minimum coverage of a good answer.
	Coverage      float64 `json:"coverage"`
	CoverageShare float64 `json:"coverageShare"`
	OrderShare    float64 `json:"orderShare"`
}

// Log selects the format and the level of the log.
type Log struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Stop sets the time limit of a graceful shutdown.
type Stop struct {
	// Grace is how long after the signal the process ends at the latest.
	Grace Duration `json:"grace"`
}

// Duration is a time.Duration that is encoded as a string with a unit, such as
// "500ms".
type Duration time.Duration

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with a unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// CollectionByID returns the collection with the given ID.
func (s *Settings) CollectionByID(id model.CollectionID) (Collection, bool) {
	for _, c := range s.Collections {
		if c.ID == id {
			return c, true
		}
	}
	return Collection{}, false
}

// IsConfiguredMember reports whether Control.Members lists this instance. It does
// not reflect later changes of the group.
func (s *Settings) IsConfiguredMember() bool {
	for _, id := range s.Control.Members {
		if id == s.Instance.ID {
			return true
		}
	}
	return false
}

// MeshAddress returns the address advertised to peers.
func (i Instance) MeshAddress() netip.AddrPort {
	if i.MeshAdvertise.IsValid() {
		return i.MeshAdvertise
	}
	return i.MeshListen
}
