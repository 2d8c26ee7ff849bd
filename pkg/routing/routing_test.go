package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func table() *routing.Table {
	to := func(s model.ServiceID) []routing.Weighted { return []routing.Weighted{{Service: s, Weight: 1}} }
	return &routing.Table{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, Split: to("x")},
			{Name: "deep", Host: "a.example", Prefix: "/one/two/", Timeout: time.Second, Split: to("y")},
			{Name: "query", Host: "b.example", Prefix: "/q/", Timeout: time.Second, Fanout: &routing.Fanout{
				Shards: []model.ServiceID{"x", "y"}, MaxRecords: 5, MinShardShare: 0.75,
			}},
		},
		Services: []routing.Service{{Name: "x", Connections: 10}, {Name: "y", Connections: 10}},
	}
}

var _ = Describe("Index", func() {
	x := routing.NewIndex(table())

	DescribeTable("finds the route with the longest prefix", func(host, path, want string) {
		r := x.Route(host, path)
		if want == "" {
			Expect(r).To(BeNil())
			return
		}
		Expect(r).NotTo(BeNil())
		Expect(r.Name).To(Equal(want))
	},
		Entry("whole host", "a.example", "/else", "all"),
		Entry("deeper prefix", "a.example", "/one/two/three", "deep"),
		Entry("the prefix itself", "a.example", "/one/two/", "deep"),
		Entry("a prefix ends with its slash", "a.example", "/one/two", "all"),
		Entry("no prefix", "b.example", "/other/", ""),
		Entry("unknown host", "c.example", "/", ""),
	)
})

var _ = Describe("Check", func() {
	It("accepts a valid table", func() { Expect(table().Check()).To(Succeed()) })

	DescribeTable("rejects an invalid table", func(mutate func(*routing.Table), message string) {
		t := table()
		mutate(t)
		Expect(t.Check()).To(MatchError(ContainSubstring(message)))
	},
		Entry("unknown service", func(t *routing.Table) { t.Routes[0].Split[0].Service = "z" }, "unknown service"),
		Entry("unknown shard", func(t *routing.Table) { t.Routes[2].Fanout.Shards[1] = "z" }, "unknown service"),
		Entry("shard twice", func(t *routing.Table) { t.Routes[2].Fanout.Shards[1] = "x" }, "twice"),
		Entry("same host and prefix", func(t *routing.Table) { t.Routes[1].Prefix = "/" }, "same host and prefix"),
		Entry("no weight", func(t *routing.Table) { t.Routes[0].Split[0].Weight = 0 }, "weights add up"),
		Entry("no timeout", func(t *routing.Table) { t.Routes[0].Timeout = 0 }, "timeout"),
	)
})

var _ = Describe("ShardsRequired", func() {
	DescribeTable("rounds up", func(share float64, shards, want int) {
		f := &routing.Fanout{Shards: make([]model.ServiceID, shards), MinShardShare: share}
		Expect(f.ShardsRequired()).To(Equal(want))
	},
		Entry("0.89 of 20", 0.89, 20, 18),
		Entry("0.75 of 20", 0.75, 20, 15),
		Entry("0.95 of 135", 0.95, 135, 129),
		Entry("no minimum", 0.0, 20, 1),
		Entry("all", 1.0, 20, 20),
	)
})
