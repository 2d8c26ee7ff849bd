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
	chaosSeeds     = 12
	ordersPerSeed  = 250
	chaosPace      = 20 * time.Millisecond
	resendsOfOrder = 3
)

// verdicts are the answers to the requests of one key.
type verdicts struct {
	mu      sync.Mutex
	answers map[string][]verdict
}

// verdict is one answer and the runs of its key when it came.
type verdict struct {
	ran  failure.Ran
	runs int
}

func (v *verdicts) add(key string, a verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answers[key] = append(v.answers[key], a)
}

// disturb cuts instances off, takes leaders away and elects others until ctx is done.
func disturb(ctx context.Context, fl *fleet, r *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		victim := instanceID(r.IntN(instanceCount))
		switch r.IntN(6) {
		case 0:
			fl.group.elect("")
		case 1, 2:
			fl.group.elect(instanceID(r.IntN(memberCount)))
		case 3:
			fl.cutOff(victim, others(fl, victim)...)
		case 4:
			fl.cutOff(victim, instanceID(r.IntN(instanceCount)))
		default:
			fl.heal()
		}
	}
}

// placeUntilKnown sends an order, and again through other instances while its
// outcome is not known, as a careful caller does.
func placeUntilKnown(fl *fleet, r *rand.Rand, key string, v *verdicts) {
	for range resendsOfOrder {
		ran := failure.DidRun
		if _, err := place(fl, r.IntN(instanceCount), key, "one loaf"); err != nil {
			ran = failure.RanOf(err)
		}
		v.add(key, verdict{ran: ran, runs: fl.orders.count(key)})
		if ran == failure.DidRun {
			return
		}
	}
}

// check compares the answers of each key with the runs that targets counted.
func (v *verdicts) check(t *testing.T, fl *fleet, seed uint64) (ran int) {
	for key, answers := range v.answers {
		runs := fl.orders.count(key)
		ran += runs
		if runs > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, key, runs)
		}
		for i, a := range answers {
			if a.ran == failure.DidRun && runs != 1 {
				t.Errorf("seed %d: key %s was confirmed and ran %d times", seed, key, runs)
			}
			if a.ran == failure.NotRun && a.runs > 0 {
				t.Errorf("seed %d: answer %d of key %s says not-run after a run", seed, i, key)
			}
		}
	}
	return ran
}

func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inFleet(t, func(t *testing.T, fl *fleet) { chaos(t, fl, seed) })
		})
	}
}

func chaos(t *testing.T, fl *fleet, seed uint64) {
	time.Sleep(settle)
	fl.group.disturb(rand.New(rand.NewPCG(seed, 1)), 0)
	fl.orders.faults = rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithCancel(t.Context())
	go disturb(ctx, fl, rand.New(rand.NewPCG(seed, 3)))
	v := &verdicts{answers: make(map[string][]verdict)}
	var callers sync.WaitGroup
	for i := range ordersPerSeed {
		time.Sleep(chaosPace)
		callers.Go(func() {
			placeUntilKnown(fl, rand.New(rand.NewPCG(seed, uint64(100+i))), fmt.Sprint("key-", i), v)
		})
	}
	callers.Wait()
	cancel()
	time.Sleep(settle)
	fl.heal()
	fl.group.elect(instanceID(0))
	if ran := v.check(t, fl, seed); ran == 0 {
		t.Errorf("seed %d: no order ran at all", seed)
	} else {
		t.Logf("seed %d: %d of %d orders ran", seed, ran, ordersPerSeed)
	}
}

func TestOrderOfKilledClaimerIsUnknown(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		time.Sleep(settle)
		fl.orders.delay = time.Minute
		go func() { _, _ = place(fl, 5, "k", "one loaf") }()
		time.Sleep(time.Second)
		fl.cutOff("entry-5", others(fl, "entry-5")...)
		_, err := place(fl, 3, "k", "one loaf")
		if failure.RanOf(err) != failure.Unknown {
			t.Errorf("got %v, want an unknown outcome", err)
		}
		if fl.orders.count("k") != 1 {
			t.Errorf("ran %d times", fl.orders.count("k"))
		}
	})
}

func TestResendWaitsForLiveClaimer(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		time.Sleep(settle)
		fl.orders.delay = 5 * time.Second
		go func() { _, _ = place(fl, 5, "k", "one loaf") }()
		time.Sleep(time.Second)
		result, err := place(fl, 3, "k", "one loaf")
		if err != nil || !result.Repeated || result.Confirmation != "c-k" {
			t.Errorf("got %+v, %v", result, err)
		}
	})
}

func TestClaimLearnedTooLateIsNotUsed(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		time.Sleep(settle)
		fl.group.disturb(nil, 3*time.Second)
		_, err := place(fl, 5, "k", "one loaf")
		if failure.RanOf(err) != failure.NotRun || fl.orders.count("k") != 0 {
			t.Errorf("got %v after %d runs, want not-run and none", err, fl.orders.count("k"))
		}
		fl.group.disturb(nil, 0)
		time.Sleep(settle)
		if _, err := place(fl, 3, "k", "one loaf"); err != nil {
			t.Errorf("an order that was not sent can be placed again: %v", err)
		}
	})
}
