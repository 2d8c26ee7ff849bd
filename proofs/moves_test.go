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
	// moveTime is the time that a move has.
	moveTime      = 60 * time.Second
	exitTakenBack = 6
	// moveCallers send callerRate queries a second together.
	moveCallers = 200
	callerRate  = 40
	// harmedBound is the greatest number of queries that a version failing at a
	// share of 25% may harm before it is stopped.
	harmedBound = 20
	// stopBound is how soon a failing version has to be without traffic.
	stopBound = 5 * time.Second
)

// manyCallers sends queries of many callers to all instances in turn. Replies
// other than 200 are counted by status; 0 stands for no reply.
type manyCallers struct {
	stop context.CancelFunc
	wait sync.WaitGroup
	mu   sync.Mutex
	bad  map[int]int
	sent int
}

func (f *fleet) startCallers(at []int) *manyCallers {
	ctx, cancel := context.WithCancel(context.Background())
	m := &manyCallers{stop: cancel, bad: make(map[int]int)}
	m.wait.Go(func() {
		ticker := time.NewTicker(time.Second / callerRate)
		defer ticker.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-ticker.C
			m.wait.Go(func() { m.note(f.queryAs(at[i%len(at)], fmt.Sprintf("caller-%d", i%moveCallers))) })
		}
	})
	return m
}

func (m *manyCallers) note(status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent++
	if status != http.StatusOK {
		m.bad[status]++
	}
}

func (m *manyCallers) finish() {
	m.stop()
	m.wait.Wait()
	AddReportEntry("callers", fmt.Sprintf("%d queries, others than 200: %v", m.sent, m.bad))
}

// failures returns the number of replies other than 200.
func (m *manyCallers) failures() int {
	n := 0
	for _, count := range m.bad {
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

// startMove applies a move rule and returns the bound for its end.
func (f *fleet) startMove(at []int) {
	GinkgoHelper()
	by := time.Now().Add(moveTime).UTC().Format(time.RFC3339)
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
	Eventually(func() float64 { return f.moveState(at).Share }, moveTime, 200*time.Millisecond).Should(BeNumerically(">=", share))
}

func (f *fleet) requestsOf(v model.VersionID) int64 { return f.stats().Versions[v].Requests }

var _ = Describe("Moves", func() {
	bothVersions := []string{`"versions": ["41"]`, `"versions": ["41", "42"]`}

	It("finishes the move of a good version in time although the leader is killed", func() {
		f := newFleet(seed(), bothVersions...)
		f.warmUp()
		load := f.startCallers([]int{4, 5, 6})
		f.startMove(all())
		f.waitForShare(all(), 0.25)
		leader := numberOf(string(f.members(all()).Leader.Instance))
		f.kill(leader)
		out, code := f.command("operator", except(leader), "moves", "wait", "shopfront", "--timeout", moveTime.String())
		Expect(code).To(Equal(exitOK), out)
		state := f.moveState(except(leader))
		Expect(state.Phase).To(Equal(move.PhaseDone))
		Expect(state.SteppedAt).To(BeTemporally("<=", state.Rule.By))
		before := f.requestsOf(oldVersion)
		time.Sleep(leaveBound)
		Expect(f.requestsOf(oldVersion)).To(Equal(before), "all traffic goes to the new version")
		load.finish()
		Expect(load.bad).To(BeEmpty())
	})

	It("takes a version back that begins to fail, and gives it no more traffic", func() {
		f := newFleet(seed(), bothVersions...)
		f.warmUp()
		load := f.startCallers(all())
		f.startMove(all())
		f.waitForShare(all(), 0.25)
		f.setFault(standin.Fault{Kind: standin.KindFail, Status: http.StatusInternalServerError, Version: newVersion})
		began := time.Now()
		out, code := f.command("operator", all(), "moves", "wait", "shopfront", "--timeout", moveTime.String())
		Expect(code).To(Equal(exitTakenBack), out)
		took := time.Since(began)
		time.Sleep(max(0, stopBound-took))
		before := f.requestsOf(newVersion)
		time.Sleep(leaveBound)
		Expect(f.requestsOf(newVersion)).To(Equal(before))
		load.finish()
		AddReportEntry("taken back", fmt.Sprintf("after %s: %s", took.Round(time.Millisecond), f.moveState(all()).Evidence))
		Expect(took).To(BeNumerically("<=", stopBound))
		Expect(load.failures()).To(BeNumerically("<=", harmedBound))
	})
})
