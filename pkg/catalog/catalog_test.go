package catalog_test

import (
	"fmt"
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

var _ = Describe("Catalog", func() {
	It("leads followers to the list, however far behind they are", func() {
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
						Leaving: rapid.Bool().Draw(t, "leaving"),
					})
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

	It("says nothing before the first list", func() {
		Expect(catalog.New(3).Since(catalog.Position{})).To(BeNil())
	})
})

func follow(s **catalog.Set, c *catalog.Catalog) {
	var at catalog.Position
	if *s != nil {
		at = (*s).Position
	}
	if d := c.Since(at); d != nil {
		*s = (*s).Apply(d)
	}
}
