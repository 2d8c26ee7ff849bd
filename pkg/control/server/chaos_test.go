package server_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"radishturn.example/radishturn/pkg/failure"
)

const (
	chaosSeeds       = 12
	ordersPerSeed    = 250
	orderInterval    = 20 * time.Millisecond
	attemptsPerOrder = 3
)

// keyReplies holds the replies to the requests of each idempotency key.
type keyReplies struct {
	mu      sync.Mutex
	replies map[string][]keyReply
}

// keyReply is one reply and the number of runs of its key at that time.
type keyReply struct {
	ran  failure.Ran
	runs int
}

func (v *keyReplies) add(key string, a keyReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replies[key] = append(v.replies[key], a)
}

// runFaults partitions instances and removes and elects leaders at random until
// ctx is done.
func runFaults(ctx context.Context, fl *fleet, r *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		victim := instanceID(r.IntN(instanceCount))
		switch r.IntN(6) {
		case 0:
			fl.group.elect("")
		case 1, 2:
			fl.group.elect(instanceID(r.IntN(memberCount)))
		case 3:
			fl.partition(victim, others(fl, victim)...)
		case 4:
			fl.partition(victim, instanceID(r.IntN(instanceCount)))
		default:
			fl.heal()
		}
	}
}

// placeUntilConfirmed places an order and resends it through random instances
// until it is confirmed, at most attemptsPerOrder times in all, as a caller should.
func placeUntilConfirmed(fl *fleet, r *rand.Rand, key string, v *keyReplies) {
	for range attemptsPerOrder {
		ran := failure.DidRun
		if _, err := place(fl, r.IntN(instanceCount), key, "one loaf"); err != nil {
			ran = failure.RanOf(err)
		}
		v.add(key, keyReply{ran: ran, runs: fl.dispatcher.count(key)})
		if ran == failure.DidRun {
			return
		}
	}
}

// check compares the replies of each key with the runs that targets counted. It
// returns the number of runs.
func (v *keyReplies) check(t *testing.T, fl *fleet, seed uint64) (ran int) {
	for key, answers := range v.replies {
		runs := fl.dispatcher.count(key)
		ran += runs
		if runs > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, key, runs)
		}
		for i, a := range answers {
			if a.ran == failure.DidRun && runs != 1 {
				t.Errorf("seed %d: key %s was confirmed but ran %d times", seed, key, runs)
			}
			if a.ran == failure.NotRun && a.runs > 0 {
				t.Errorf("seed %d: reply %d of key %s is not-run although the order ran", seed, i, key)
			}
		}
	}
	return ran
}

func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFleet(t, func(t *testing.T, fl *fleet) { chaos(t, fl, seed) })
		})
	}
}

func chaos(t *testing.T, fl *fleet, seed uint64) {
	time.Sleep(settleTime)
	fl.group.injectFaults(rand.New(rand.NewPCG(seed, 1)), 0)
	fl.dispatcher.faults = rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithCancel(t.Context())
	go runFaults(ctx, fl, rand.New(rand.NewPCG(seed, 3)))
	v := &keyReplies{replies: make(map[string][]keyReply)}
	var callers sync.WaitGroup
	for i := range ordersPerSeed {
		time.Sleep(orderInterval)
		callers.Go(func() {
			placeUntilConfirmed(fl, rand.New(rand.NewPCG(seed, uint64(100+i))), fmt.Sprint("key-", i), v)
		})
	}
	callers.Wait()
	cancel()
	time.Sleep(settleTime)
	fl.heal()
	fl.group.elect(instanceID(0))
	if ran := v.check(t, fl, seed); ran == 0 {
		t.Errorf("seed %d: no order ran", seed)
	} else {
		t.Logf("seed %d: %d of %d orders ran", seed, ran, ordersPerSeed)
	}
}

func TestOrderOfKilledClaimerIsUnknown(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		time.Sleep(settleTime)
		fl.dispatcher.delay = time.Minute
		go func() { _, _ = place(fl, 5, "k", "one loaf") }()
		time.Sleep(time.Second)
		fl.partition("entry-5", others(fl, "entry-5")...)
		_, err := place(fl, 3, "k", "one loaf")
		if failure.RanOf(err) != failure.Unknown {
			t.Errorf("got %v, want an unknown outcome", err)
		}
		if fl.dispatcher.count("k") != 1 {
			t.Errorf("ran %d times", fl.dispatcher.count("k"))
		}
	})
}

func TestResendWaitsForLiveClaimer(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		time.Sleep(settleTime)
		fl.dispatcher.delay = 5 * time.Second
		go func() { _, _ = place(fl, 5, "k", "one loaf") }()
		time.Sleep(time.Second)
		result, err := place(fl, 3, "k", "one loaf")
		if err != nil || !result.Repeated || result.Confirmation != "c-k" {
			t.Errorf("got %+v, %v", result, err)
		}
	})
}

func TestLateClaimIsNotUsed(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		time.Sleep(settleTime)
		fl.group.injectFaults(nil, 3*time.Second)
		_, err := place(fl, 5, "k", "one loaf")
		if failure.RanOf(err) != failure.NotRun || fl.dispatcher.count("k") != 0 {
			t.Errorf("got %v after %d runs, want not-run and none", err, fl.dispatcher.count("k"))
		}
		fl.group.injectFaults(nil, 0)
		time.Sleep(settleTime)
		if _, err := place(fl, 3, "k", "one loaf"); err != nil {
			t.Errorf("placing the order again after a not-run reply: %v", err)
		}
	})
}
