package catalog_test

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/catalog"
	"radishturn.example/radishturn/pkg/model"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var address = netip.MustParseAddrPort("10.0.0.1:80")

var _ = Describe("Catalog", func() {
	// The leader and its followers may run different builds.
	It("takes no targets that cannot be used, neither at the leader nor at a follower", func() {
		usable, odd := model.Target{ID: "i-1", Address: address}, model.Target{ID: "i\r\n2", Address: address}
		c := catalog.New(1)
		changed, refused := c.Update([]model.Target{odd, usable})
		Expect(changed).To(BeTrue())
		Expect(refused).To(HaveLen(1))
		Expect(c.Len()).To(Equal(1))
		var s *catalog.Set
		s, refused = s.Apply(&catalog.Delta{Full: true, Changed: []model.Target{odd, usable}})
		Expect(refused).To(HaveLen(1))
		Expect(s.Targets).To(HaveLen(1))
	})

	It("brings followers up to date, however far behind they are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			term := uint64(1)
			c := catalog.New(term)
			followers := make([]*catalog.Set, 3)
			var list []model.Target
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "new leader") {
					term++
					c = catalog.New(term)
				}
				list = nil
				for i := range rapid.IntRange(0, 6).Draw(t, "targets") {
					list = append(list, model.Target{
						ID:      model.TargetID(fmt.Sprint(i)),
						Address: address,
						Leaving: rapid.Bool().Draw(t, "leaving"),
					})
					if rapid.Bool().Draw(t, "another") {
						list[i].ID += "-other"
					}
				}
				c.Update(list)
				i := rapid.IntRange(0, 2).Draw(t, "follower")
				follow(&followers[i], c)
			}
			for i := range followers {
				follow(&followers[i], c)
				if len(followers[i].Targets) != len(list) {
					t.Fatalf("follower has %v, the list is %v", followers[i].Targets, list)
				}
				for _, want := range list {
					if followers[i].Targets[want.ID] != want {
						t.Fatalf("follower has %v, the list is %v", followers[i].Targets, list)
					}
				}
			}
		})
	})

	// After a change of leader, followers must not have to download the whole list
	// again: a large deployment has 8,900 leaves with three targets each.
	It("sends a follower of an earlier leader only the changes", func() {
		var list []model.Target
		for i := range 1000 {
			list = append(list, model.Target{ID: model.TargetID(fmt.Sprint("i-", i)), Address: address})
		}
		before, unchanged, after := catalog.New(1), catalog.New(2), catalog.New(3)
		before.Update(list)
		unchanged.Update(list)
		list = append(list[1:], model.Target{ID: "i-new", Address: address})
		list[7].Leaving = true
		after.Update(list)
		var s *catalog.Set
		Expect(follow(&s, before)).To(Equal(1000))
		Expect(follow(&s, unchanged)).To(BeZero())
		Expect(follow(&s, after)).To(BeNumerically("<", 50))
		Expect(s.Targets).To(HaveLen(1000))
		Expect(s.Targets["i-8"].Leaving).To(BeTrue())
		Expect(s.Targets).NotTo(HaveKey(model.TargetID("i-0")))
	})

	It("returns no delta before the first list", func() {
		Expect(catalog.New(3).Since(catalog.Position{}, nil)).To(BeNil())
	})
})

// follow applies deltas until the follower is up to date and returns the number of
// targets received.
func follow(s **catalog.Set, c *catalog.Catalog) int {
	var position catalog.Position
	var buckets catalog.BucketDigests
	received := 0
	for {
		if *s != nil {
			position = (*s).Position
		}
		d := c.Since(position, buckets)
		if d == nil {
			return received
		}
		if d.NeedBuckets {
			buckets = (*s).BucketDigests()
			continue
		}
		received += len(d.Changed)
		*s, _ = (*s).Apply(d)
	}
}
