//go:build soak

package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"
)

const (
	// slowEntry is the index of the entry behind the slow path.
	slowEntry = controlCount + entryCount - 1
	// manyRoutes makes a configuration that takes longer than a renewal may.
	manyRoutes = 3000
	// slowEntryRate is in bytes per second.
	slowEntryRate = 50_000
	// slowEntryBound is several times as long as the path needs for the configuration.
	slowEntryBound = 40 * time.Second
)

// Guards against a renewal that is abandoned while its reply arrives, and begun anew as a
// whole, so that an entry behind a slow path never gets a large configuration.
func TestAnEntryBehindASlowPathGetsALargeConfiguration(t *testing.T) {
	useMemoryFolder(t)
	f := newFleet(t, 1, slowEntry)
	f.fixedRoutes = manyRoutes
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	path := f.startRelay(1, f.instances[:slowEntry], f.instances[slowEntry:])
	path.setFault(pathFault{bytesPerSecond: slowEntryRate})
	f.replaceConfiguration(ctx)
	began := time.Now()
	for !f.serves(ctx, f.instances[slowEntry], "/x/1/") {
		if time.Since(began) > slowEntryBound {
			f.addFinding("the entry has no configuration after %s; the path passed %d bytes", slowEntryBound, path.passed.Load())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("served after %s; the path passed %d bytes and dropped %d", time.Since(began), path.passed.Load(), path.dropped.Load())
	f.report(1)
}

// serves reports whether an entry answers a request with this path.
func (f *fleet) serves(ctx context.Context, entry *instance, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", entry.ip, entryPort, path), nil)
	f.must(err)
	id := fmt.Sprintf("x%08x", f.nextID())
	r.Host = "h.example"
	r.Header.Set("X-Radishturn-Request-Id", id)
	r.Header.Set("X-Radishturn-Deadline-Milliseconds", strconv.Itoa(int(requestTimeout.Milliseconds())))
	f.checker.recordEntry(id, entry)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
