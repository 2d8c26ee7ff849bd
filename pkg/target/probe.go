package target

import (
	"context"
	"errors"
	"syscall"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// probePause lies between two requests of a probe.
const probePause = time.Millisecond

// ProbeResult is the end of a Probe.
type ProbeResult int

// Results of a probe.
const (
	// ProbeInconclusive means that neither could be shown in time.
	ProbeInconclusive ProbeResult = iota
	// ProbeRefused means that the target accepts no connection.
	ProbeRefused
	// ProbeAnswered means that an incarnation of the target answered.
	ProbeAnswered
)

// Probe finds out which incarnation of the target runs, if any. A process that
// ends may accept connections for a moment and close them unanswered, so an
// unclear result is tried again until the context ends.
func (c *Client) Probe(ctx context.Context) (ProbeResult, model.BootID) {
	for {
		result, boot := c.probeOnce(ctx)
		if result != ProbeInconclusive || !pause(ctx, probePause) {
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

// pause waits and reports whether the context still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
