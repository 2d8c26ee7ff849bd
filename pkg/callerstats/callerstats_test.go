package callerstats_test

import (
	"encoding/json"
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
		t.Callers = append(t.Callers, routing.Caller{Name: model.CallerID(n)})
	}
	return routing.NewIndex(t)
}

// Guards against counts of the wrong account, also when several instances are added up,
// and against accounts that are kept after they were removed.
func TestCountsTheRequestsOfTheAccountsInForce(t *testing.T) {
	g, tally, other, table := NewWithT(t), callerstats.NewTally(), callerstats.NewTally(), index(1, "mira", "ralo", "unused")
	tally.RecordRequest(table, "ralo", 2*time.Second)
	tally.RecordRequest(table, "ralo", time.Second)
	tally.RecordRequest(table, "mira", 3*time.Second)
	tally.RecordRefusal("ralo")
	other.RecordRequest(table, "ralo", 4*time.Second)
	all := []callerstats.Status{tally.Status(table, 5*time.Second, 0), other.Status(index(2, "mira", "ralo", "unused"), 5*time.Second, 40*time.Millisecond)}
	text, err := json.Marshal(callerstats.Merge(all))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(MatchJSON(`{"tableVersion":2,"renewalMilliseconds":40,"accounts":[
		{"name":"mira","keys":0,"requests":1,"refusals":0,"unusedMilliseconds":2000},
		{"name":"ralo","keys":0,"requests":3,"refusals":1,"unusedMilliseconds":1000},
		{"name":"unused","keys":0,"requests":0,"refusals":0}]}`))
	tally.RecordRequest(index(2, "mira"), "mira", 6*time.Second)
	tally.RecordRefusal("ralo")
	again := tally.Status(index(3, "mira", "ralo"), 6*time.Second, 0).Accounts
	g.Expect([]uint64{again[0].Requests, again[1].Requests, again[1].Refusals}).To(Equal([]uint64{2, 0, 0}))
}
