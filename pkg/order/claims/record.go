package claims

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
)

const (
	// maxConcurrentRecords limits the outcomes that are recorded concurrently.
	maxConcurrentRecords = 512
	// recordTimeout limits the time spent on recording one outcome, with retries.
	recordTimeout = 30 * time.Second
	// recordRetryDelay is the delay between two attempts to record an outcome.
	recordRetryDelay = 250 * time.Millisecond
)

// record writes the outcome of a claim to the replicated state in the
// background. The caller gets its answer without waiting for this, and until the
// outcome is recorded this instance answers a ClaimStatusRequest about it. If
// maxConcurrentRecords are in progress, record blocks until one has finished.
func (s *Service) record(c *localClaim, key state.OrderKey) {
	s.recordSlots <- struct{}{}
	go func() {
		defer func() { <-s.recordSlots }()
		s.recordWithRetry(c, key)
	}()
}

func (s *Service) recordWithRetry(c *localClaim, key state.OrderKey) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	phase, confirmation := c.outcome()
	change := state.OrderChange{Outcome: &state.ClaimOutcome{Key: key, ID: c.id, Phase: phase, Confirmation: confirmation}}
	for {
		result, err := s.submitChange(ctx, change)
		if err == nil && result.Refusal != nil {
			err = failure.New(result.Refusal.Code, failure.NotRun, "record outcome", "", "%s", result.Refusal.Message)
		}
		if err == nil {
			s.localClaims.remove(c.id)
			return
		}
		select {
		case <-ctx.Done():
			outcomesUnrecorded.Inc()
			events.Emit(events.OrderOutcomeNotRecorded, c.id, err)
			s.localClaims.retainUnrecorded(c.id)
			return
		case <-time.After(recordRetryDelay):
		}
	}
}

// serveClaimStatus answers with the phase of a claim of this instance. It waits
// up to r.Wait, but at most maxStatusWait, for the claim to end.
func (s *Service) serveClaimStatus(ctx context.Context, _ model.InstanceID, r *wire.ClaimStatusRequest) (*wire.ClaimStatusReply, error) {
	c := s.localClaims.find(r.ID)
	if c == nil {
		return &wire.ClaimStatusReply{}, nil
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	case <-time.After(min(r.Wait, maxStatusWait)):
	}
	phase, confirmation := c.outcome()
	return &wire.ClaimStatusReply{Known: true, Phase: phase, Confirmation: confirmation}, nil
}
