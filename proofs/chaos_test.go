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
	// faultPause lies between two faults, faultTime is how long one lasts.
	faultPause = 400 * time.Millisecond
	faultTime  = 2500 * time.Millisecond
)

// seed returns the seed of the run, which PROOF_SEED may set.
func seed() uint64 { return number("PROOF_SEED", defaultSeed) }

// number returns the value of an environment variable, or fallback without one.
func number(variable string, fallback uint64) uint64 {
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

// fault harms one instance for a while and then mends it.
type fault struct {
	name  string
	begin func(f *fleet, n int)
	end   func(f *fleet, n int)
}

var faults = []fault{
	{"kill", (*fleet).kill, func(f *fleet, n int) { f.startInstance(n) }},
	{
		"freeze",
		func(f *fleet, n int) { f.signal(n, syscall.SIGSTOP) },
		func(f *fleet, n int) { f.signal(n, syscall.SIGCONT) },
	},
	{
		"cut",
		func(f *fleet, n int) { f.network.isolate(n, except(n), true) },
		func(f *fleet, n int) { f.network.isolate(n, except(n), false) },
	},
	{
		"one-way cut",
		func(f *fleet, n int) { f.cutInbound(n, true) },
		func(f *fleet, n int) { f.cutInbound(n, false) },
	},
}

func (f *fleet) cutInbound(n int, cut bool) {
	for _, other := range except(n) {
		f.network.setCut(other, n, cut)
	}
}

// disturb breaks one instance after the other until ctx is done, two at a time
// now and then, and mends them all before it returns.
func (f *fleet) disturb(ctx context.Context, seed uint64) {
	defer GinkgoRecover()
	random := rand.New(rand.NewPCG(seed, 1))
	var wait sync.WaitGroup
	defer wait.Wait()
	busy := make(chan struct{}, 2)
	hurt := newInstanceSet()
	for ctx.Err() == nil {
		n, x := 1+random.IntN(instances), faults[random.IntN(len(faults))]
		time.Sleep(time.Duration(random.Int64N(int64(2 * faultPause))))
		if !hurt.add(n) {
			continue
		}
		busy <- struct{}{}
		GinkgoWriter.Printf("%s %s\n", x.name, name(n))
		wait.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wait.Done()
			x.begin(f, n)
			time.Sleep(faultTime)
			x.end(f, n)
			hurt.remove(n)
			<-busy
		}()
	}
}

// instanceSet is a set of instances for many goroutines.
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
