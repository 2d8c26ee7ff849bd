package radishturn

import (
	"fmt"
	"reflect"

	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/settings"
)

// Context carries the settings and the services that modules provide to each
// other. It is used by one goroutine at a time, while modules are provisioned.
type Context struct {
	// Settings are the validated settings of this instance. Modules must not
	// modify them.
	Settings *settings.Settings
	// Memory is the budget of the process for the messages of clients and targets; nil if
	// its memory is not stated.
	Memory *membudget.Budget

	services map[reflect.Type]any
}

// NewContext returns a Context without services.
func NewContext(s *settings.Settings) *Context {
	return &Context{Settings: s, Memory: membudget.ForProcess(s.Instance.MemoryMB), services: make(map[reflect.Type]any)}
}

// Provide registers service under type T for modules that are provisioned later.
// It fails if a service of type T is already registered.
func Provide[T any](c *Context, service T) error {
	t := reflect.TypeFor[T]()
	if _, ok := c.services[t]; ok {
		return fmt.Errorf("service %s is provided twice", t)
	}
	c.services[t] = service
	return nil
}

// Require returns the service registered under type T. A missing service means
// that the caller's ModuleInfo lacks an After entry.
func Require[T any](c *Context) (T, error) {
	t := reflect.TypeFor[T]()
	service, ok := c.services[t].(T)
	if !ok {
		var zero T
		return zero, fmt.Errorf("service %s is not provided", t)
	}
	return service, nil
}

// Fetch is like Require, but stores the service in into, so that T is inferred and
// the errors of several calls can be joined.
func Fetch[T any](c *Context, into *T) error {
	service, err := Require[T](c)
	if err != nil {
		return err
	}
	*into = service
	return nil
}
