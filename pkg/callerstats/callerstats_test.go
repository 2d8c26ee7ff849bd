package callerstats_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/callerstats"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

func index(version uint64, names ...string) *routing.Index {
	t := &routing.Table{Version: version}
	for _, n := range names {
		t.Callers = append(t.Callers, routing.Caller{Name: model.CallerID(n), Keys: []routing.KeyDigest{routing.DigestKey("key of " + n)}})
	}
	return routing.NewIndex(t)
}

// Guards against counts of the wrong account, and against accounts that are kept after
// they were removed.
func TestCountsTheRequestsOfTheAccountsInForce(t *testing.T) {
	g, tally, table := NewWithT(t), callerstats.NewTally(), index(1, "mira", "ralo", "unused")
	tally.RecordRequest(table, "ralo", 2*time.Second)
	tally.RecordRequest(table, "ralo", time.Second)
	tally.RecordRequest(table, "mira", 3*time.Second)
	tally.RecordRefusal("ralo")
	text, err := json.Marshal(tally.Status(table, 5*time.Second, 40*time.Millisecond))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(MatchJSON(`{"tableVersion":1,"renewalMilliseconds":40,"accounts":[
		{"name":"mira","keys":1,"requests":1,"refusals":0,"unusedMilliseconds":2000},
		{"name":"ralo","keys":1,"requests":2,"refusals":1,"unusedMilliseconds":3000},
		{"name":"unused","keys":1,"requests":0,"refusals":0}]}`))
	tally.RecordRequest(index(2, "mira"), "mira", 6*time.Second)
	tally.RecordRefusal("ralo")
	again := tally.Status(index(3, "mira", "ralo"), 6*time.Second, 0)
	g.Expect(again.Accounts[0].Requests).To(BeEquivalentTo(2))
	g.Expect(again.Accounts[1].Requests + again.Accounts[1].Refusals).To(BeZero())
}

func TestMergeAddsUpInstances(t *testing.T) {
	g := NewWithT(t)
	var all []callerstats.Status
	for i := range 3 {
		tally, table := callerstats.NewTally(), index(uint64(1+i), "ralo", fmt.Sprint("only-", i))
		for range i {
			tally.RecordRequest(table, "ralo", time.Duration(i)*time.Second)
		}
		all = append(all, tally.Status(table, 10*time.Second, time.Duration(i)*time.Second))
	}
	merged := callerstats.Merge(all)
	g.Expect(merged.TableVersion).To(BeEquivalentTo(3))
	g.Expect(merged.RenewalMilliseconds).To(BeEquivalentTo(2000))
	g.Expect(merged.Accounts).To(HaveLen(2))
	g.Expect(merged.Accounts[1].Requests).To(BeEquivalentTo(3))
	g.Expect(*merged.Accounts[1].UnusedMilliseconds).To(BeEquivalentTo(8000))
	g.Expect(merged.Accounts[0].UnusedMilliseconds).To(BeNil())
	g.Expect(callerstats.Merge(nil)).To(Equal(callerstats.Status{}))
}
