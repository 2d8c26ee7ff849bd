package radishturn

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/settings"
)

// Kernel holds the loaded modules of one process.
type Kernel struct {
	loaded []loadedModule
}

type loadedModule struct {
	id     ModuleID
	module Module
}

// Actor is a module with a Run method, as the run group of radishturnd needs it.
type Actor struct {
	ID  ModuleID
	Run func(ctx context.Context) error
}

// Load creates, provisions and validates every module registered for the role in
// the settings. If one fails, it and the modules loaded before it are cleaned up.
func Load(s *settings.Settings) (*Kernel, error) {
	infos, err := Modules(s.Instance.Role)
	if err != nil {
		return nil, err
	}
	k := &Kernel{}
	c := NewContext(s)
	for _, info := range infos {
		if err := k.load(c, info); err != nil {
			return nil, errors.Join(err, k.Cleanup())
		}
	}
	return k, nil
}

func (k *Kernel) load(c *Context, info ModuleInfo) error {
	m := info.New()
	k.loaded = append(k.loaded, loadedModule{info.ID, m})
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(c); err != nil {
			return fmt.Errorf("provision %s: %w", info.ID, err)
		}
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return fmt.Errorf("validate %s: %w", info.ID, err)
		}
	}
	return nil
}

// Actors returns the modules that implement Runner, in order of provisioning.
func (k *Kernel) Actors() []Actor {
	var actors []Actor
	for _, l := range k.loaded {
		if r, ok := l.module.(Runner); ok {
			actors = append(actors, Actor{ID: l.id, Run: r.Run})
		}
	}
	return actors
}

// Drain drains the modules that implement Drainer, in reverse order of
// provisioning. It continues after an error and returns all errors joined.
func (k *Kernel) Drain(ctx context.Context) error {
	var errs []error
	for _, l := range slices.Backward(k.loaded) {
		d, ok := l.module.(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			errs = append(errs, fmt.Errorf("drain %s: %w", l.id, err))
		}
	}
	return errors.Join(errs...)
}

// Reload passes changed settings to the modules that implement Reloader.
func (k *Kernel) Reload(s *settings.Settings) error {
	var errs []error
	for _, l := range k.loaded {
		if r, ok := l.module.(Reloader); ok {
			if err := r.Reload(s); err != nil {
				errs = append(errs, fmt.Errorf("reload %s: %w", l.id, err))
			}
		}
	}
	return errors.Join(errs...)
}

// Cleanup releases the modules' resources, in reverse order of provisioning.
func (k *Kernel) Cleanup() error {
	var errs []error
	for _, l := range slices.Backward(k.loaded) {
		c, ok := l.module.(CleanerUp)
		if !ok {
			continue
		}
		if err := c.Cleanup(); err != nil {
			errs = append(errs, fmt.Errorf("clean up %s: %w", l.id, err))
		}
	}
	return errors.Join(errs...)
}
