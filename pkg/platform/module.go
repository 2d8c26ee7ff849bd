package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/statusline"
)

const (
	// maxListBytes bounds the size of the list; 8,900 leaves with 3 targets each fit.
	maxListBytes = 64 << 20
	readTimeout  = 5 * time.Second
)

// ModuleName is the ID of the platform module.
const ModuleName radishturn.ModuleID = "platform"

// Module polls the platform's list and provides it as a Source.
type Module struct {
	settings settings.Platform
	client   *http.Client
	list     atomic.Pointer[List]
	refused  *events.ErrorLog
	failing  bool
}

var _ Source = (*Module)(nil)

func init() { radishturn.RegisterModule(&Module{}) }

// ModuleInfo returns the module's description.
func (*Module) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:  ModuleName,
		New: func() radishturn.Module { return &Module{} },
	}
}

// Provision registers the Source. The list is first read by Run.
func (m *Module) Provision(c *radishturn.Context) error {
	m.settings = c.Settings.Platform
	m.client = &http.Client{Timeout: readTimeout, Transport: statusline.Transport()}
	m.refused = events.NewErrorLog(events.PlatformEntryInvalid)
	return radishturn.Provide[Source](c, m)
}

// List returns the newest list, or nil before the first read.
func (m *Module) List() *List { return m.list.Load() }

// Run polls the list until ctx is done. If the list cannot be read, it logs that
// once per outage and keeps the last list.
func (m *Module) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.settings.Poll.Std())
	defer ticker.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Module) poll(ctx context.Context) {
	list, err := m.read(ctx)
	if err != nil {
		if !m.failing && ctx.Err() == nil {
			events.Emit(events.PlatformListUnavailable, err)
		}
		m.failing = true
		return
	}
	if m.failing || m.list.Load() == nil {
		events.Emit(events.PlatformListRead, list.Sequence, len(list.Targets), len(list.Instances))
	}
	m.failing = false
	m.list.Store(list)
}

func (m *Module) read(ctx context.Context) (list *List, err error) {
	url := "http://" + m.settings.Address.String() + ListPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("read platform list: %w", err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read platform list: %w", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read platform list from %s: status %d", url, response.StatusCode)
	}
	list = new(List)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(list); err != nil {
		return nil, fmt.Errorf("read platform list from %s: %w", url, err)
	}
	targets, refused := model.UsableTargets(list.Targets)
	m.refused.Add(refused...)
	list.Targets = targets
	return list, nil
}
