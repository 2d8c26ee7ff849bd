// Package standin simulates the back ends and the platform for tests and
// experiments: it runs HTTP targets on loopback ports that implement the target
// protocol, and serves the platform's list. It can inject the faults that real
// targets have. It does not model anything behind these interfaces.
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

// Settings is the content of a settings file.
type Settings struct {
	// Platform is the listen address of the platform's list.
	Platform netip.AddrPort `json:"platform"`
	// Control is the listen address of the control API.
	Control netip.AddrPort `json:"control"`
	// FirstPort is the port of the first target; the other targets use the
	// following ports. With 0 the operating system chooses each port.
	FirstPort int `json:"firstPort"`
	// ListLag is the delay until a change is visible in the platform's list.
	ListLag settings.Duration `json:"listLag"`
	// Instances are copied to the platform's list unchanged.
	Instances   []Instance   `json:"instances"`
	Collections []Collection `json:"collections"`
	// Schedule sets and clears faults at fixed times after the start.
	Schedule []ScheduledFault `json:"schedule,omitempty"`
	Log      settings.Log     `json:"log"`
}

// Instance is an instance that the platform lists.
type Instance struct {
	ID               model.InstanceID         `json:"id"`
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone"`
}

// Collection configures a collection and its targets.
type Collection struct {
	ID                model.CollectionID         `json:"id"`
	AvailabilityZones []model.AvailabilityZoneID `json:"availabilityZones"`
	// Services are named svc-01, svc-02 and so on.
	Services int `json:"services"`
	// Leaves is the number of leaves of each service.
	Leaves int `json:"leaves"`
	// Slots is the number of targets of each leaf and version.
	Slots int `json:"slots"`
	// Versions run side by side. The IDs of targets of all but the first version
	// end in "@" and the version.
	Versions []model.VersionID `json:"versions"`
	// Snapshots lists the snapshots in ascending order; targets start with the
	// first one.
	Snapshots []Snapshot `json:"snapshots"`
	// MinDocumentsPerLeaf is the minimum number of documents of a leaf.
	MinDocumentsPerLeaf int `json:"documentsPerLeaf"`
	// Connections is the maximum number of open connections of a target.
	Connections int `json:"connections"`
	// ConnectTime is the time after accept before a target reads from a
	// connection.
	ConnectTime settings.Duration `json:"connectTime"`
	// Concurrency is the maximum number of requests that a target processes at a
	// time; 0 means unlimited.
	Concurrency int `json:"concurrency,omitempty"`
	// Queue is the maximum number of requests that wait for a worker; a target
	// sheds further requests.
	Queue       int          `json:"queue,omitempty"`
	ServiceTime Distribution `json:"serviceTime"`
	Cold        Cold         `json:"cold"`
}

// Snapshot configures a snapshot that targets of a collection can hold.
type Snapshot struct {
	ID model.SnapshotID `json:"id"`
	// Leaves is the number of leaves of each service in this snapshot's
	// partition map; 0 means Collection.Leaves.
	Leaves int `json:"leaves,omitempty"`
}

// Cold configures the cold start of targets.
type Cold struct {
	// MaxLoad is the number of concurrent requests that a cold target handles
	// without being overloaded.
	MaxLoad int `json:"load"`
	// CrashLoad is the number of concurrent requests at which a cold target
	// crashes; 0 means that it never crashes.
	CrashLoad int `json:"crashLoad,omitempty"`
	// Requests is the number of requests after which a target is warm.
	Requests int `json:"requests"`
	// Factor multiplies the service time of the first request; it decreases
	// linearly to 1 as the target warms up.
	Factor float64 `json:"factor"`
	// RestartAfter is the time until a target that crashed from overload while
	// cold restarts; 0 means that it stays down.
	RestartAfter settings.Duration `json:"restartAfter"`
	// AtStart makes targets cold when the stand-in starts.
	AtStart bool `json:"atStart,omitempty"`
}

// Read reads and checks a settings file.
func Read(file string) (*Settings, error) {
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

// Check returns all errors in the settings.
func (s *Settings) Check() error {
	errs := []error{
		checkLoopback("platform", s.Platform),
		checkLoopback("control", s.Control),
	}
	if s.FirstPort < 0 || s.FirstPort+s.targetCount() > maxPort {
		errs = append(errs, fmt.Errorf("firstPort: %d targets starting at port %d do not fit into the port range", s.targetCount(), s.FirstPort))
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
	positive("documentsPerLeaf", c.MinDocumentsPerLeaf)
	positive("versions", len(c.Versions))
	positive("snapshots", len(c.Snapshots))
	positive("availabilityZones", len(c.AvailabilityZones))
	positive("cold.load", c.Cold.MaxLoad)
	positive("cold.requests", c.Cold.Requests)
	if c.ID == "" {
		errs = append(errs, errors.New("id: is missing"))
	}
	return errors.Join(append(errs, c.ServiceTime.Check())...)
}

// maxLeaves returns the largest number of leaves of a service in any snapshot.
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

// DecodeStrict decodes JSON with comments and rejects unknown fields.
func DecodeStrict(text []byte, into any) error {
	standard, err := hujson.Standardize(text)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
