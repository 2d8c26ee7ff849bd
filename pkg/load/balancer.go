package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readyPath is where an entry says whether it takes new work.
	readyPath = "/readyz"
	// readyTimeout is when an entry without an answer counts as not ready.
	readyTimeout = time.Second
)

// entries chooses the entry of each request among those that are ready.
type entries struct {
	all   []netip.AddrPort
	ready atomic.Pointer[[]netip.AddrPort]
}

func newEntries(all []netip.AddrPort) *entries {
	e := &entries{all: all}
	e.ready.Store(&all)
	return e
}

func (e *entries) choose(number int) netip.AddrPort {
	ready := *e.ready.Load()
	return ready[number%len(ready)]
}

// poll asks every entry for its readiness, as a balancer does. While none is
// ready all of them get requests.
func (e *entries) poll(ctx context.Context, period time.Duration) {
	client := &http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	for pause(ctx, period) == nil {
		if ready := e.askAll(ctx, client); len(ready) > 0 {
			e.ready.Store(&ready)
		}
	}
}

func (e *entries) askAll(ctx context.Context, client *http.Client) []netip.AddrPort {
	answers := make([]bool, len(e.all))
	var wg sync.WaitGroup
	for i, a := range e.all {
		wg.Go(func() { answers[i] = isReady(ctx, client, a) })
	}
	wg.Wait()
	var ready []netip.AddrPort
	for i, a := range e.all {
		if answers[i] {
			ready = append(ready, a)
		}
	}
	return ready
}

func isReady(ctx context.Context, client *http.Client, a netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close() // the status is enough
	return response.StatusCode == http.StatusOK
}
