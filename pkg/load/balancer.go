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
	// readyPath is the readiness endpoint of an entry.
	readyPath = "/readyz"
	// readyTimeout bounds a readiness check; an entry that does not answer in
	// time counts as not ready.
	readyTimeout = time.Second
)

// balancer spreads requests over the entries that are ready.
type balancer struct {
	all   []netip.AddrPort
	ready atomic.Pointer[[]netip.AddrPort]
}

func newBalancer(all []netip.AddrPort) *balancer {
	b := &balancer{all: all}
	b.ready.Store(&all)
	return b
}

func (b *balancer) pick(number int) netip.AddrPort {
	ready := *b.ready.Load()
	return ready[number%len(ready)]
}

// pollReadiness checks the readiness of every entry once per period until ctx is
// done, as a load balancer does. While no entry is ready, the last set of ready
// entries, initially all entries, stays in use.
func (b *balancer) pollReadiness(ctx context.Context, period time.Duration) {
	client := &http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	for sleep(ctx, period) == nil {
		if ready := b.readyEntries(ctx, client); len(ready) > 0 {
			b.ready.Store(&ready)
		}
	}
}

func (b *balancer) readyEntries(ctx context.Context, client *http.Client) []netip.AddrPort {
	isUp := make([]bool, len(b.all))
	var wg sync.WaitGroup
	for i, a := range b.all {
		wg.Go(func() { isUp[i] = isReady(ctx, client, a) })
	}
	wg.Wait()
	var ready []netip.AddrPort
	for i, a := range b.all {
		if isUp[i] {
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
	response.Body.Close() // only the status is needed
	return response.StatusCode == http.StatusOK
}
