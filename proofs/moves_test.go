//go:build proofs

package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/standin"
)

const (
	oldVersion = model.VersionID("41")
	newVersion = model.VersionID("42")
	// A move shifts traffic step by step from one version to another; its share is
	// the part of the traffic that goes to the new version.
	//
	// moveDuration is the time from the start of a move to its deadline.
	moveDuration   = 60 * time.Second
	exitRolledBack = 6
	// moveCallers is the number of callers; together they send callerRate queries
	// per second.
	moveCallers = 200
	callerRate  = 40
	// maxFailedQueries is the maximum number of queries that may fail before a
	// version is rolled back that begins to fail when it gets 25% of the traffic.
	maxFailedQueries = 20
	// rollbackBound is the time within which a failing version must lose all traffic.
	rollbackBound = 5 * time.Second
)

// callerLoad sends queries of many callers to the given instances in turn. It
// counts replies other than 200 by status; status 0 means no reply.
type callerLoad struct {
	stop           context.CancelFunc
	wait           sync.WaitGroup
	mu             sync.Mutex
	failedByStatus map[int]int
	sent           int
}

func (f *fleet) startCallerLoad(at []int) *callerLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &callerLoad{stop: cancel, failedByStatus: make(map[int]int)}
	l.wait.Go(func() {
		ticker := time.NewTicker(time.Second / callerRate)
		defer ticker.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-ticker.C
			l.wait.Go(func() { l.record(f.queryAs(at[i%len(at)], fmt.Sprintf("caller-%d", i%moveCallers))) })
		}
	})
	return l
}

func (l *callerLoad) record(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if status != http.StatusOK {
		l.failedByStatus[status]++
	}
}

func (l *callerLoad) finish() {
	l.stop()
	l.wait.Wait()
	AddReportEntry("callers", fmt.Sprintf("%d queries, others than 200: %v", l.sent, l.failedByStatus))
}

// failures returns the number of replies other than 200.
func (l *callerLoad) failures() int {
	n := 0
	for _, count := range l.failedByStatus {
		n += count
	}
	return n
}

func (f *fleet) queryAs(n int, caller string) int {
	body := []byte(`{"query": "olive bread", "route": "search", "limit": 3}`)
	url := fmt.Sprintf("http://%s/v1/collections/shopfront/query", address(callerPort+n))
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Timeout", "2000")
	request.Header.Set("Radishturn-Caller", caller)
	response, err := f.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// startMove applies a move rule whose deadline is moveDuration from now.
func (f *fleet) startMove(at []int) {
	GinkgoHelper()
	by := time.Now().Add(moveDuration).UTC().Format(time.RFC3339)
	out, code := f.command("operator", at, "rules", "apply",
		f.rulesFile(fmt.Sprintf("move shopfront from %s to %s by %s # Marko, new ranking", oldVersion, newVersion, by)))
	Expect(code).To(Equal(exitOK), out)
}

func (f *fleet) moveState(at []int) move.State {
	out, code := f.command("operator", at, "--json", "moves", "list")
	var moves []move.State
	if code != exitOK || json.Unmarshal([]byte(out), &moves) != nil || len(moves) != 1 {
		return move.State{}
	}
	return moves[0]
}

func (f *fleet) waitForShare(at []int, share float64) {
	GinkgoHelper()
	Eventually(func() float64 { return f.moveState(at).Share }, moveDuration, 200*time.Millisecond).Should(BeNumerically(">=", share))
}

func (f *fleet) requestsToVersion(v model.VersionID) int64 { return f.stats().Versions[v].Requests }

var _ = Describe("Moves", func() {
	bothVersions := []string{`"versions": ["41"]`, `"versions": ["41", "42"]`}

	It("finishes the move of a good version in time although the leader is killed", func() {
		f := newFleet(seed(), bothVersions...)
		f.warmUp()
		load := f.startCallerLoad([]int{4, 5, 6})
		f.startMove(allInstances())
		f.waitForShare(allInstances(), 0.25)
		leader := instanceNumber(string(f.controlStatus(allInstances()).Leader.Instance))
		f.kill(leader)
		out, code := f.command("operator", allExcept(leader), "moves", "wait", "shopfront", "--timeout", moveDuration.String())
		Expect(code).To(Equal(exitOK), out)
		state := f.moveState(allExcept(leader))
		Expect(state.Phase).To(Equal(move.PhaseDone))
		Expect(state.SteppedAt).To(BeTemporally("<=", state.Rule.By))
		before := f.requestsToVersion(oldVersion)
		time.Sleep(drainBound)
		Expect(f.requestsToVersion(oldVersion)).To(Equal(before), "all traffic goes to the new version")
		load.finish()
		Expect(load.failedByStatus).To(BeEmpty())
	})

	It("rolls back a version that begins to fail, and sends it no more traffic", func() {
		f := newFleet(seed(), bothVersions...)
		f.warmUp()
		load := f.startCallerLoad(allInstances())
		f.startMove(allInstances())
		f.waitForShare(allInstances(), 0.25)
		f.setStandinFaults(standin.Fault{Kind: standin.KindFail, Status: http.StatusInternalServerError, Version: newVersion})
		began := time.Now()
		out, code := f.command("operator", allInstances(), "moves", "wait", "shopfront", "--timeout", moveDuration.String())
		Expect(code).To(Equal(exitRolledBack), out)
		took := time.Since(began)
		time.Sleep(max(0, rollbackBound-took))
		before := f.requestsToVersion(newVersion)
		time.Sleep(drainBound)
		Expect(f.requestsToVersion(newVersion)).To(Equal(before))
		load.finish()
		AddReportEntry("taken back", fmt.Sprintf("after %s: %s", took.Round(time.Millisecond), f.moveState(allInstances()).Evidence))
		Expect(took).To(BeNumerically("<=", rollbackBound))
		Expect(load.failures()).To(BeNumerically("<=", maxFailedQueries))
	})
})
