package routing

import (
	"strings"

	"radishturn.example/radishturn/pkg/model"
)

// Index looks up routes, services and callers of a table. It is immutable.
type Index struct {
	Table    *Table
	hosts    map[string]map[string]*Route
	services map[model.ServiceID]*Service
	callers  map[KeyDigest]*Caller
}

// NewIndex returns the index of a table.
func NewIndex(t *Table) *Index {
	x := &Index{
		Table:    t,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[model.ServiceID]*Service, len(t.Services)),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if x.hosts[r.Host] == nil {
			x.hosts[r.Host] = make(map[string]*Route)
		}
		x.hosts[r.Host][r.Prefix] = r
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	if len(t.Callers) == 0 {
		return x
	}
	x.callers = make(map[KeyDigest]*Caller)
	for i := range t.Callers {
		for _, k := range t.Callers[i].Keys {
			x.callers[k] = &t.Callers[i]
		}
	}
	return x
}

// Version returns the version of the table; 0 if there is none.
func (x *Index) Version() uint64 {
	if x == nil {
		return 0
	}
	return x.Table.Version
}

// Route returns the route of a host with the longest matching prefix of path, or nil.
func (x *Index) Route(host, path string) *Route {
	prefixes := x.hosts[host]
	for len(prefixes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
		path = path[:end]
	}
	return nil
}

// Service returns the service with a name, or nil.
func (x *Index) Service(name model.ServiceID) *Service { return x.services[name] }

// Caller returns the account with a key, or nil.
func (x *Index) Caller(key KeyDigest) *Caller { return x.callers[key] }

// NeedsKeys reports whether the table has accounts, so that requests need a key except
// on public routes.
func (x *Index) NeedsKeys() bool { return len(x.Table.Callers) > 0 }
