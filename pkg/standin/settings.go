// Package standin is a stand-in of the served systems: HTTP targets on loopback
// ports that follow the target protocol, and the platform's list. It can show
// the faults that real targets have. It models nothing behind the interface.
package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/tailscale/hujson"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
)

// Settings are all settings of the stand-in.
type Settings struct {
	// Platform is the address of the platform's list.
	Platform netip.AddrPort `json:"platform"`
	// Control is the address for faults and statistics.
	Control netip.AddrPort `json:"control"`
	// FirstPort is the port of the first target; the others follow. 0 leaves the
	// choice of each port to the operating system.
	FirstPort int `json:"firstPort"`
	// ListLag is the delay until the list shows a change.
	ListLag settings.Duration `json:"listLag"`
	// Instances are listed as they stand here.
	Instances   []Instance   `json:"instances"`
	Collections []Collection `json:"collections"`
	// Schedule sets faults at times since the start.
	Schedule []ScheduledFault `json:"schedule,omitempty"`
	Log      settings.Log     `json:"log"`
}

// Instance is an instance that the platform lists.
type Instance struct {
	ID               model.InstanceID         `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
}

// Collection is the shape of a served collection.
type Collection struct {
	ID                model.CollectionID         `json:"id"`
	AvailabilityZones []model.AvailabilityZoneID `json:"availabilityZones"`
	// Services are named svc-01, svc-02 and so on.
	Services int `json:"services"`
	// Leaves is the number of leaves of each service.
	Leaves int `json:"leaves"`
	// Slots is the number of targets of each leaf and version.
	Slots int `json:"slots"`
	// Versions start beside each other; targets of the first one have plain names.
	Versions []model.VersionID `json:"versions"`
	// Snapshots lists the snapshots in order; the first one is held at start.
	Snapshots []Snapshot `json:"snapshots"`
	// DocumentsPerLeaf is the least number of documents of a leaf.
	DocumentsPerLeaf int `json:"documentsPerLeaf"`
	// Connections is the number of open connections that a target accepts.
	Connections int `json:"connections"`
	// ConnectTime delays the first request of a connection.
	ConnectTime settings.Duration `json:"connectTime"`
	// Concurrency is the number of requests that a target serves at a time; 0
	// means no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// Queue is the number of requests that wait for their turn before a target
	// sheds load.
	Queue       int          `json:"queue,omitempty"`
	ServiceTime Distribution `json:"serviceTime"`
	Cold        Cold         `json:"cold"`
}

// Snapshot is a snapshot that targets of a collection may hold.
type Snapshot struct {
	ID model.SnapshotID `json:"id"`
	// Leaves is the number of leaves of each service in this snapshot's
	// partition map; 0 means that of the collection.
	Leaves int `json:"leaves,omitempty"`
}

// Cold describes targets in cold start.
type Cold struct {
	// Load is the number of requests at a time that a cold target bears.
	Load int `json:"load"`
	// CrashLoad is the number of requests at a time at which a cold target
	// crashes; 0 means that it never does.
	CrashLoad int `json:"crashLoad,omitempty"`
	// Requests is the number of requests after which a target is warm.
	Requests int `json:"requests"`
	// Factor multiplies the service time of the first request; it falls to 1
	// as the target warms.
	Factor float64 `json:"factor"`
	// RestartAfter is the time until a target that crashed is back.
	RestartAfter settings.Duration `json:"restartAfter"`
	// AtStart makes targets start cold.
	AtStart bool `json:"atStart,omitempty"`
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read stand-in settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("read stand-in settings %s: %w", file, err)
	}
	return s, nil
}

// Parse reads and checks settings in JSON with comments.
func Parse(text []byte) (*Settings, error) {
	s := new(Settings)
	if err := DecodeStrict(text, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check reports all mistakes in the settings.
func (s *Settings) Check() error {
	errs := []error{
		checkLoopback("platform", s.Platform),
		checkLoopback("control", s.Control),
	}
	if s.FirstPort < 0 || s.FirstPort+s.targetCount() > maxPort {
		errs = append(errs, fmt.Errorf("firstPort: %d targets from port %d do not fit", s.targetCount(), s.FirstPort))
	}
	for i, c := range s.Collections {
		if err := c.check(); err != nil {
			errs = append(errs, fmt.Errorf("collections[%d] %s: %w", i, c.ID, err))
		}
	}
	for i, f := range s.Schedule {
		if err := f.Fault.Check(); err != nil {
			errs = append(errs, fmt.Errorf("schedule[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

const maxPort = 65535

func (s *Settings) targetCount() int {
	n := 0
	for _, c := range s.Collections {
		n += c.Services * c.maxLeaves() * c.Slots * len(c.Versions)
	}
	return n
}

func (c Collection) check() error {
	var errs []error
	positive := func(field string, n int) {
		if n <= 0 {
			errs = append(errs, fmt.Errorf("%s: must be above 0", field))
		}
	}
	positive("services", c.Services)
	positive("leaves", c.Leaves)
	positive("slots", c.Slots)
	positive("connections", c.Connections)
	positive("documentsPerLeaf", c.DocumentsPerLeaf)
	positive("versions", len(c.Versions))
	positive("snapshots", len(c.Snapshots))
	positive("availabilityZones", len(c.AvailabilityZones))
	positive("cold.load", c.Cold.Load)
	positive("cold.requests", c.Cold.Requests)
	if c.ID == "" {
		errs = append(errs, errors.New("id: is missing"))
	}
	return errors.Join(append(errs, c.ServiceTime.Check())...)
}

// maxLeaves is the number of leaves of a service over all snapshots.
func (c Collection) maxLeaves() int {
	n := c.Leaves
	for _, s := range c.Snapshots {
		n = max(n, s.Leaves)
	}
	return n
}

func checkLoopback(field string, a netip.AddrPort) error {
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("%s: %s is not a loopback address", field, a)
	}
	return nil
}

// DecodeStrict decodes JSON with comments and refuses unknown fields.
func DecodeStrict(text []byte, into any) error {
	standard, err := hujson.Standardize(text)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
