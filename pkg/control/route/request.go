package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/mesh"
	"radishturn.example/radishturn/pkg/model"
)

// attempt is one try to reach the leader: directly at a member, or by a relay.
type attempt struct {
	to    model.InstanceID
	relay bool
}

// answer is the result of an attempt.
type answer struct {
	attempt attempt
	raw     []byte
	err     error
}

// request is the state of one request to the leader.
type request struct {
	router  *Router
	kind    mesh.Kind
	payload []byte
	// relays is set if the request may go through a relay.
	relays bool
	// tried holds the attempts made in this round.
	tried    map[attempt]bool
	inFlight map[attempt]bool
	answers  chan answer
	// rounds counts the rounds in which no leader answered.
	rounds int
	// mayHaveRun is set once an attempt has failed without proof that the request
	// did not run. An attempt that got no reply may have reached a leader.
	mayHaveRun bool
	lastErr    error
}

// run makes attempts until a leader answers or ctx is done.
func (c *request) run(ctx context.Context) ([]byte, error) {
	for {
		next, ok := c.next()
		if ok {
			c.start(ctx, next)
		} else {
			clear(c.tried)
			c.rounds++
		}
		select {
		case a := <-c.answers:
			delete(c.inFlight, a.attempt)
			if c.handleAnswer(a) {
				return a.raw, a.err
			}
		case <-time.After(c.attemptDelay()):
		case <-ctx.Done():
			return nil, c.noLeaderError(ctx)
		}
	}
}

// attemptDelay returns how long to wait for an answer before the next attempt.
func (c *request) attemptDelay() time.Duration {
	if len(c.inFlight) > 0 {
		return hedgeDelay
	}
	return roundBackoff << min(c.rounds, maxBackoffDoublings)
}

// maxBackoffDoublings bounds the growth of the delay between rounds.
const maxBackoffDoublings = 1

// noLeaderError returns the error of a request that no leader answered in time.
// It is marked not-run only if no attempt can have reached a leader.
func (c *request) noLeaderError(ctx context.Context) error {
	ran := failure.NotRun
	if c.mayHaveRun || len(c.inFlight) > 0 {
		ran = failure.Unknown
	}
	cause := c.lastErr
	if cause == nil {
		cause = ctx.Err()
	}
	return failure.New(failure.NoQuorum, ran, string(c.kind), "", "no leader answered: %w", cause)
}

// next returns the next attempt of this round; false if none is left.
func (c *request) next() (attempt, bool) {
	for _, a := range c.attemptOrder() {
		if !c.tried[a] && !c.inFlight[a] {
			return a, true
		}
	}
	return attempt{}, false
}

// attemptOrder lists the relay that last succeeded and the likely leader, followed
// by relays and members alternately, beginning with a relay: a likely leader that
// does not respond may still be reachable from another instance. Without a likely
// leader the members come before the relays, since members know the leader.
func (c *request) attemptOrder() []attempt {
	leader, relay := c.router.cachedLeader()
	var attempts []attempt
	if c.relays && relay != "" && c.mayRelay(relay) {
		attempts = append(attempts, attempt{to: relay, relay: true})
	}
	members := c.memberAttempts()
	if leader == "" {
		return append(append(attempts, members...), c.relayAttempts()...)
	}
	attempts = append(attempts, attempt{to: leader})
	return append(attempts, alternate(c.relayAttempts(), members)...)
}

// memberAttempts returns one direct attempt for each instance that may lead, in
// random order.
func (c *request) memberAttempts() []attempt {
	var members []attempt
	for _, id := range shuffled(c.router.possibleLeaders()) {
		members = append(members, attempt{to: id})
	}
	return members
}

// relayAttempts returns one attempt for each peer that may serve as a relay.
// Peers that are not members come first, since a reachable member is asked
// directly. A peer with a direct attempt in flight is left out, so that an
// unresponsive one gets no second request.
func (c *request) relayAttempts() []attempt {
	if !c.relays || c.relaysTried() >= relaysPerRound {
		return nil
	}
	members := c.router.possibleLeaders()
	peers := slices.DeleteFunc(shuffled(c.router.mesh.Peers()), func(id model.InstanceID) bool {
		return id == c.router.mesh.Self() || c.inFlight[attempt{to: id}] || !c.mayRelay(id)
	})
	slices.SortStableFunc(peers, func(a, b model.InstanceID) int {
		return compareBool(slices.Contains(members, a), slices.Contains(members, b))
	})
	relays := make([]attempt, len(peers))
	for i, id := range peers {
		relays[i] = attempt{to: id, relay: true}
	}
	return relays
}

// mayRelay reports whether an instance may see the request and its reply.
func (c *request) mayRelay(id model.InstanceID) bool {
	return !wire.SecretKinds[c.kind] || slices.Contains(c.router.possibleLeaders(), id)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// alternate interleaves a and b, beginning with a.
func alternate(a, b []attempt) []attempt {
	mixed := make([]attempt, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			mixed = append(mixed, a[i])
		}
		if i < len(b) {
			mixed = append(mixed, b[i])
		}
	}
	return mixed
}

func (c *request) relaysTried() int {
	n := 0
	for a := range c.tried {
		if a.relay {
			n++
		}
	}
	for a := range c.inFlight {
		if a.relay && !c.tried[a] {
			n++
		}
	}
	return n
}

func shuffled(ids []model.InstanceID) []model.InstanceID {
	ids = slices.Clone(ids)
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// start makes an attempt in the background.
func (c *request) start(ctx context.Context, a attempt) {
	c.tried[a] = true
	c.inFlight[a] = true
	go func() {
		raw, err := c.send(ctx, a)
		select {
		case c.answers <- answer{attempt: a, raw: raw, err: err}:
		case <-ctx.Done():
		}
	}()
}

func (c *request) send(ctx context.Context, a attempt) ([]byte, error) {
	if !a.relay {
		return c.router.mesh.Call(ctx, a.to, c.kind, c.payload)
	}
	relayed := &wire.RelayRequest{Kind: c.kind, Payload: c.payload}
	reply, err := mesh.Call[wire.RelayRequest, wire.RelayReply](ctx, c.router.mesh, a.to, wire.KindRelay, relayed)
	if err != nil {
		return nil, err
	}
	return reply.Payload, nil
}

// handleAnswer reports whether a is the final answer of a leader. Otherwise it
// records whether the request may have run, and updates the likely leader.
func (c *request) handleAnswer(a answer) bool {
	switch {
	case a.err == nil:
	case retryable[failure.CodeOf(a.err)]:
		c.lastErr = a.err
		c.mayHaveRun = c.mayHaveRun || failure.RanOf(a.err) != failure.NotRun
		c.router.recordFailure(a.attempt, a.err)
		return false
	}
	c.router.recordSuccess(a.attempt)
	return true
}

// retryable are the failure codes after which another attempt may succeed.
var retryable = map[failure.Code]bool{
	failure.NotLeader: true, failure.PeerUnreachable: true, failure.NoQuorum: true, failure.OutcomeUnknown: true,
}
