package dispatch

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

var _ = Describe("Status gauges", func() {
	It("count targets by state and report the smallest budget", func() {
		s := Status{
			TableVersion: 7,
			Targets: []TargetStatus{
				{Own: true, Connections: 2}, {Unused: "unreachable", Connections: 1}, {Unused: "leaving", Cold: true}, {FleetCost: 3},
			},
			Budgets: map[model.ServiceID]float64{"s": 4.5, "t": 1.25},
		}
		var out bytes.Buffer
		s.writeGauges(&out)
		for _, line := range []string{
			`radishturn_targets{state="listed"} 4`, `radishturn_targets{state="own"} 1`, `radishturn_targets{state="unused"} 2`,
			`radishturn_targets{state="unreachable"} 1`, `radishturn_targets{state="dear"} 1`, `radishturn_targets{state="cold"} 1`,
			`radishturn_target_connections 3`, `radishturn_table_version 7`, `radishturn_retry_budget_least 1.25`,
		} {
			Expect(out.String()).To(ContainSubstring(line + "\n"))
		}
	})
})
