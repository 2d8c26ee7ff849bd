//go:build proofs

package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

const (
	defaultSeed = 1
	// faultInterval is the mean time between two faults, faultDuration is how
	// long a fault lasts.
	faultInterval = 400 * time.Millisecond
	faultDuration = 2500 * time.Millisecond
)

// seed returns the seed of the run, from PROOF_SEED if set.
func seed() uint64 { return envUint64("PROOF_SEED", defaultSeed) }

// envUint64 returns the value of an environment variable, or fallback if it is unset.
func envUint64(variable string, fallback uint64) uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", variable, err))
	}
	return n
}

// faultKind is a fault that is injected into one instance and later removed.
type faultKind struct {
	name  string
	begin func(f *fleet, n int)
	end   func(f *fleet, n int)
}

var faultKinds = []faultKind{
	{"kill", (*fleet).kill, func(f *fleet, n int) { f.startInstance(n) }},
	{
		"freeze",
		func(f *fleet, n int) { f.signal(n, syscall.SIGSTOP) },
		func(f *fleet, n int) { f.signal(n, syscall.SIGCONT) },
	},
	{
		"cut",
		func(f *fleet, n int) { f.network.setCutBothWays(n, allExcept(n), true) },
		func(f *fleet, n int) { f.network.setCutBothWays(n, allExcept(n), false) },
	},
	{
		"one-way cut",
		func(f *fleet, n int) { f.setInboundCut(n, true) },
		func(f *fleet, n int) { f.setInboundCut(n, false) },
	},
}

// setInboundCut cuts or restores the links from all other instances to instance n.
func (f *fleet) setInboundCut(n int, cut bool) {
	for _, other := range allExcept(n) {
		f.network.setCut(other, n, cut)
	}
}

// injectFaults injects faults into random instances until ctx is done, at most
// two at a time, and removes them all before it returns.
func (f *fleet) injectFaults(ctx context.Context, seed uint64) {
	defer GinkgoRecover()
	random := rand.New(rand.NewPCG(seed, 1))
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, 2)
	faulty := newInstanceSet()
	for ctx.Err() == nil {
		n, kind := 1+random.IntN(instances), faultKinds[random.IntN(len(faultKinds))]
		time.Sleep(time.Duration(random.Int64N(int64(2 * faultInterval))))
		if !faulty.add(n) {
			continue
		}
		slots <- struct{}{}
		GinkgoWriter.Printf("%s %s\n", kind.name, instanceID(n))
		wait.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wait.Done()
			kind.begin(f, n)
			time.Sleep(faultDuration)
			kind.end(f, n)
			faulty.remove(n)
			<-slots
		}()
	}
}

// instanceSet is a set of instances that is safe for concurrent use.
type instanceSet struct {
	mu  sync.Mutex
	set map[int]bool
}

func newInstanceSet() *instanceSet { return &instanceSet{set: make(map[int]bool)} }

func (s *instanceSet) add(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set[n] {
		return false
	}
	s.set[n] = true
	return true
}

func (s *instanceSet) remove(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, n)
}
