package target

import (
	"context"
	"errors"
	"syscall"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// probeInterval is the delay between two requests of a probe.
const probeInterval = time.Millisecond

// ProbeResult is the result of a Probe.
type ProbeResult int

// Results of a probe.
const (
	// ProbeInconclusive means that the context ended before either of the other
	// results was established.
	ProbeInconclusive ProbeResult = iota
	// ProbeRefused means that the target refuses connections.
	ProbeRefused
	// ProbeAnswered means that a target process answered.
	ProbeAnswered
)

// Probe returns the boot ID of the running target process, if there is one. A
// process that is exiting may briefly accept connections and close them without a
// reply, so an inconclusive result is retried until the context ends.
func (c *Client) Probe(ctx context.Context) (ProbeResult, model.BootID) {
	for {
		result, boot := c.probeOnce(ctx)
		if result != ProbeInconclusive || !sleep(ctx, probeInterval) {
			return result, boot
		}
	}
}

func (c *Client) probeOnce(ctx context.Context) (ProbeResult, model.BootID) {
	health, err := c.Health(ctx)
	switch {
	case err == nil:
		return ProbeAnswered, health.Boot
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused, ""
	}
	return ProbeInconclusive, ""
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
