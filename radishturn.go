// Package radishturn is the kernel of the query tier: it keeps the registry of
// modules and manages their lifecycle. All behaviour is implemented in modules,
// each in a package of its own that registers itself in init.
//
// The lifecycle of a module is New, Provision, Validate, Run, Drain, Cleanup.
// Every step after New is optional and is detected through an interface.
package radishturn

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"radishturn.example/radishturn/pkg/settings"
)

// ModuleID identifies a module. The part before the first dot is its namespace,
// such as "entry" or "control".
type ModuleID string

// ModuleInfo describes a registered module.
type ModuleInfo struct {
	// ID is unique within the process.
	ID ModuleID
	// After lists the modules that must be provisioned before this one. Loading
	// fails if an ID is not registered; an ID that is registered only for other
	// roles is ignored.
	After []ModuleID
	// Before lists modules that must be provisioned after this one. It is for a
	// module that provides a service to modules that do not name it in After.
	// IDs that are not registered are ignored.
	Before []ModuleID
	// Roles are the roles in which the module is loaded; empty means
	// settings.RoleStandalone only.
	Roles []settings.Role
	// New returns a new, empty module.
	New func() Module
}

// Module is a unit of behaviour that the kernel can load.
type Module interface {
	// ModuleInfo returns the module's ID, dependencies and constructor.
	ModuleInfo() ModuleInfo
}

// Provisioner is implemented by modules that need settings or services from
// other modules before they run. Provision must not start goroutines that
// outlive Cleanup.
type Provisioner interface {
	Provision(c *Context) error
}

// Validator is implemented by modules that check their own state after Provision.
type Validator interface {
	Validate() error
}

// Runner is implemented by modules with a main loop. Run returns when ctx is
// done; returning earlier stops the whole process.
type Runner interface {
	Run(ctx context.Context) error
}

// Drainer is implemented by modules that take part in a graceful shutdown. Drain
// is called in reverse order of provisioning while all modules still run, and
// returns once the module has no unfinished work or ctx is done.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Reloader is implemented by modules that apply changed settings while they run.
// Fields that a module does not apply take effect at the next start.
type Reloader interface {
	Reload(s *settings.Settings) error
}

// CleanerUp is implemented by modules that hold resources after Provision.
type CleanerUp interface {
	Cleanup() error
}

var registry = struct {
	sync.Mutex
	modules map[ModuleID]ModuleInfo
}{modules: make(map[ModuleID]ModuleInfo)}

// RegisterModule adds a module to the registry. It panics on an empty or
// duplicate ID, since both are programming errors.
func RegisterModule(m Module) {
	info := m.ModuleInfo()
	if info.ID == "" || info.New == nil {
		panic("radishturn: module without ID or New")
	}
	registry.Lock()
	defer registry.Unlock()
	if _, ok := registry.modules[info.ID]; ok {
		panic(fmt.Sprintf("radishturn: module %s registered twice", info.ID))
	}
	registry.modules[info.ID] = info
}

// Modules returns the modules of a role in an order that respects After and
// Before.
// Modules that do not depend on each other are ordered by ID.
func Modules(role settings.Role) ([]ModuleInfo, error) {
	registry.Lock()
	defer registry.Unlock()
	sorted, err := sortModules(registry.modules)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(sorted, func(info ModuleInfo) bool { return !info.loadedIn(role) }), nil
}

func (i ModuleInfo) loadedIn(role settings.Role) bool {
	if len(i.Roles) == 0 {
		return role == settings.RoleStandalone
	}
	return slices.Contains(i.Roles, role)
}

func sortModules(modules map[ModuleID]ModuleInfo) ([]ModuleInfo, error) {
	ids := make([]ModuleID, 0, len(modules))
	for id := range modules {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s := &sorter{modules: modules, state: make(map[ModuleID]visitState)}
	for _, id := range ids {
		if err := s.visit(id); err != nil {
			return nil, err
		}
	}
	return s.sorted, nil
}

type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// sorter sorts modules topologically, by depth-first search over their
// dependencies.
type sorter struct {
	modules map[ModuleID]ModuleInfo
	state   map[ModuleID]visitState
	sorted  []ModuleInfo
}

func (s *sorter) visit(id ModuleID) error {
	info, ok := s.modules[id]
	if !ok {
		return fmt.Errorf("module %s is not registered", id)
	}
	switch s.state[id] {
	case visited:
		return nil
	case visiting:
		return fmt.Errorf("dependency cycle at module %s", id)
	}
	s.state[id] = visiting
	for _, dep := range s.dependencies(info) {
		if err := s.visit(dep); err != nil {
			return fmt.Errorf("module %s: %w", id, err)
		}
	}
	s.state[id] = visited
	s.sorted = append(s.sorted, info)
	return nil
}

// dependencies returns the modules that must be provisioned before a module, in
// a deterministic order.
func (s *sorter) dependencies(info ModuleInfo) []ModuleID {
	deps := slices.Clone(info.After)
	var providers []ModuleID
	for id, other := range s.modules {
		if slices.Contains(other.Before, info.ID) {
			providers = append(providers, id)
		}
	}
	slices.Sort(providers)
	return append(deps, providers...)
}
