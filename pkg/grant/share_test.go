package grant_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/grant"
	"radishturn.example/radishturn/pkg/model"
)

var _ = Describe("Shares", func() {
	// A cold load of 2 at each of 3 slots reaches all 6 instances only if the slots of
	// a leaf prefer different instances.
	It("give every instance cold load at some slot of each leaf if the limits suffice", func() {
		var instances []model.InstanceID
		for i := range 6 {
			instances = append(instances, model.InstanceID(fmt.Sprintf("e%d", i+1)))
		}
		for leaf := range 40 {
			reached := make(map[model.InstanceID]bool)
			for slot := range 3 {
				id := model.NewTargetID("shopfront", model.LeafID{Service: "svc-01", Leaf: leaf}, slot+1)
				for instance := range grant.Shares(id, grant.Limit{ColdLoad: 2}, instances) {
					reached[instance] = true
				}
			}
			Expect(reached).To(HaveLen(6), "leaf %d", leaf)
		}
	})
})
