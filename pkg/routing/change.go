package routing

import (
	"reflect"

	"radishturn.example/radishturn/pkg/model"
)

// RouteKey identifies a route by host and prefix; it is unique within a table.
type RouteKey struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

// Key returns the key of the route.
func (r *Route) Key() RouteKey { return RouteKey{r.Host, r.Prefix} }

// TableDelta holds the differences between two versions of a table and updates a table
// from the older one to the newer one.
type TableDelta struct {
	// From is the version that the delta builds on; 0 if it holds the full table.
	From uint64 `cbor:"1,keyasint,omitempty"`
	// To is the resulting version.
	To     uint64 `cbor:"2,keyasint"`
	Limits Limits `cbor:"3,keyasint"`
	// Routes, Services and Callers were added or changed; RemovedRoutes, RemovedServices
	// and RemovedCallers were removed.
	Routes          []Route           `cbor:"4,keyasint,omitempty"`
	RemovedRoutes   []RouteKey        `cbor:"5,keyasint,omitempty"`
	Services        []Service         `cbor:"6,keyasint,omitempty"`
	RemovedServices []model.ServiceID `cbor:"7,keyasint,omitempty"`
	Callers         []Caller          `cbor:"8,keyasint,omitempty"`
	RemovedCallers  []model.CallerID  `cbor:"9,keyasint,omitempty"`
}

// ItemKeys identifies routes, services and callers of a table.
type ItemKeys struct {
	Routes   map[RouteKey]bool
	Services map[model.ServiceID]bool
	Callers  map[model.CallerID]bool
}

// FullDelta returns the delta that holds the full table without its source.
func (t *Table) FullDelta() *TableDelta {
	return &TableDelta{To: t.Version, Limits: t.Limits, Routes: t.Routes, Services: t.Services, Callers: t.Callers}
}

// Diff returns the routes, services and callers that differ between the two tables.
func (t *Table) Diff(old *Table) ItemKeys {
	return ItemKeys{
		Routes:   differingKeys(old.Routes, t.Routes, (*Route).Key),
		Services: differingKeys(old.Services, t.Services, (*Service).key),
		Callers:  differingKeys(old.Callers, t.Callers, (*Caller).key),
	}
}

func (s *Service) key() model.ServiceID { return s.Name }

func differingKeys[K comparable, V any](old, next []V, key func(*V) K) map[K]bool {
	before := make(map[K]*V, len(old))
	for i := range old {
		before[key(&old[i])] = &old[i]
	}
	differing := make(map[K]bool)
	for i := range next {
		k := key(&next[i])
		if o, had := before[k]; !had || !reflect.DeepEqual(o, &next[i]) {
			differing[k] = true
		}
		delete(before, k)
	}
	for k := range before {
		differing[k] = true
	}
	return differing
}

// DeltaSince returns the delta to this table from a version that has the same
// content except for the items.
func (t *Table) DeltaSince(version uint64, items ItemKeys) *TableDelta {
	c := &TableDelta{From: version, To: t.Version, Limits: t.Limits}
	c.Routes, c.RemovedRoutes = selectByKey(t.Routes, items.Routes, (*Route).Key)
	c.Services, c.RemovedServices = selectByKey(t.Services, items.Services, (*Service).key)
	c.Callers, c.RemovedCallers = selectByKey(t.Callers, items.Callers, (*Caller).key)
	return c
}

// selectByKey returns the values whose keys are named, and the keys without a value.
func selectByKey[K comparable, V any](all []V, named map[K]bool, key func(*V) K) (found []V, missing []K) {
	present := make(map[K]bool, len(named))
	for i := range all {
		if k := key(&all[i]); named[k] {
			found = append(found, all[i])
			present[k] = true
		}
	}
	for k := range named {
		if !present[k] {
			missing = append(missing, k)
		}
	}
	return found, missing
}

// Apply returns the table after a delta, and false if the delta does not build on
// the table. The receiver is not modified; it may be nil.
func (t *Table) Apply(c *TableDelta) (*Table, bool) {
	if c.From == 0 {
		return &Table{Version: c.To, Routes: c.Routes, Services: c.Services, Callers: c.Callers, Limits: c.Limits}, true
	}
	if t == nil || t.Version != c.From {
		return nil, false
	}
	return &Table{
		Version:  c.To,
		Routes:   merge(t.Routes, c.Routes, c.RemovedRoutes, (*Route).Key),
		Services: merge(t.Services, c.Services, c.RemovedServices, (*Service).key),
		Callers:  merge(t.Callers, c.Callers, c.RemovedCallers, (*Caller).key),
		Limits:   c.Limits,
	}, true
}

func merge[K comparable, V any](old, changed []V, removed []K, key func(*V) K) []V {
	replaced := make(map[K]bool, len(changed)+len(removed))
	for i := range changed {
		replaced[key(&changed[i])] = true
	}
	for _, k := range removed {
		replaced[k] = true
	}
	next := make([]V, 0, len(old)+len(changed))
	for i := range old {
		if !replaced[key(&old[i])] {
			next = append(next, old[i])
		}
	}
	return append(next, changed...)
}
