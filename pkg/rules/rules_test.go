package rules_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/rules"
)

func TestRules(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rules")
}

var topology = rules.Topology{
	AvailabilityZones: []model.AvailabilityZoneID{"split-a", "zadar-b", "sibenik-c"},
	Collections:       []rules.CollectionShape{{ID: "shopfront", Leaves: 2, Slots: 3}, {ID: "ledger", Leaves: 15, Slots: 3}},
}

const validRules = `# morning rules
zone split-a out                                  # Ana, floor rewiring 4 Dec
move shopfront from 41 to 42 by 2026-12-05T05:00Z # Marko, new ranking

move ledger from 7 to 8 by 2026-12-05T05:00:30+01:00 first 0.5% # Marko
limit caller clinic-7 50/s # Lotte
drain target shopfront/svc-03/leaf-1/slot-2 # Ivo
`

var _ = Describe("Parse", func() {
	It("parses each kind of rule", func() {
		set, diagnostics := rules.Parse(validRules, topology)
		Expect(diagnostics).To(BeEmpty())
		Expect(set.Rules).To(HaveLen(5))
		Expect(set.Rules[0].ZoneOut.AvailabilityZone).To(BeEquivalentTo("split-a"))
		Expect(set.Rules[0].Comment).To(Equal("Ana, floor rewiring 4 Dec"))
		Expect(set.Rules[0].Line).To(Equal(2))
		Expect(set.Rules[1].Move.By).To(BeTemporally("==", time.Date(2026, 12, 5, 5, 0, 0, 0, time.UTC)))
		Expect(set.Rules[2].Move.FirstShare).To(BeNumerically("~", 0.005))
		Expect(set.Rules[3].Limit.PerSecond).To(Equal(50.0))
		Expect(set.Rules[4].Drain.Target).To(BeEquivalentTo("shopfront/svc-03/leaf-1/slot-2"))
	})

	It("reports every error with line, column and fix", func() {
		_, diagnostics := rules.Parse(strings.Join([]string{
			"zone split-b out # Ana",
			"zone zadar-b",
			"  shut zadar-b # Ana",
			"move shopfront from 41 to 41 by soon # Ana",
			"limit caller clinic-7 50 # Ana",
			"drain target shopfront/svc-03/leaf-9/slot-2 # Ana",
			"limit caller clinic-8 5/s extra # Ana",
			"limit caller clinic-9 5/s #",
		}, "\n"), topology)
		Expect(lines(diagnostics)).To(Equal([]string{
			`1:6: unknown availability zone "split-b"; use one of split-a, zadar-b, sibenik-c`,
			`2:13: no comment names who asked for the rule; append "# NAME, reason"`,
			`2:13: the rule is not complete; write it as: zone AVAILABILITY-ZONE out`,
			`3:3: unknown rule "shut"; start the line with zone, move, limit or drain`,
			`4:27: the move starts and ends at the same version; name the new version`,
			`4:33: "soon" is not a time; write it like 2026-12-05T05:00Z`,
			`5:23: "50" is not a rate; write requests per second, such as 50/s`,
			`6:14: the collection has no leaf 9; use a leaf up to 2`,
			`7:27: unexpected "extra"; write it as: limit caller CALLER 50/s`,
			`8:26: no comment names who asked for the rule; append "# NAME, reason"`,
		}))
	})

	DescribeTable("reports contradictions and invalid numbers", func(text, want string) {
		_, diagnostics := rules.Parse(text, topology)
		Expect(lines(diagnostics)).To(ConsistOf(ContainSubstring(want)))
	},
		Entry("the same zone twice", "zone split-a out # a\nzone split-a out # b", `2:6: line 1 already has a zone rule`),
		Entry("two limits", "limit caller c 1/s # a\nlimit caller c 2/s # b", `2:14: line 1 already has a limit rule`),
		Entry("two moves", "move ledger from 1 to 2 by 2026-12-05T05:00Z # a\nmove ledger from 1 to 3 by 2026-12-05T05:00Z # b", `2:6: line 1 already has a move rule`),
		Entry("all zones out", "zone split-a out # a\nzone zadar-b out # a\nzone sibenik-c out # a", "3:1: every availability zone is out"),
		Entry("a share above 100%", "move ledger from 1 to 2 by 2026-12-05T05:00Z first 101% # a", `1:52: "101%" is not a share`),
		Entry("not a number", "limit caller c NaN/s # a", `is not a rate`),
	)
})

func lines(diagnostics []rules.Diagnostic) []string {
	var text []string
	for _, m := range diagnostics {
		text = append(text, m.String())
	}
	return text
}

var _ = Describe("Diff", func() {
	It("matches rules by subject and ignores lines and comments", func() {
		old, _ := rules.Parse("zone split-a out # Ana\nlimit caller c 5/s # Ana\ndrain target ledger/s/leaf-1/slot-1 # Ivo\n", topology)
		next, _ := rules.Parse("limit caller c 6/s # Ana\nzone split-a out # Ana again\nlimit caller d 1/s # Lotte\n", topology)
		Expect(rules.Diff(old, next)).To(Equal([]rules.Difference{
			{Kind: rules.Changed, Old: "limit caller c 5/s", New: "limit caller c 6/s"},
			{Kind: rules.Kept, Old: "zone split-a out", New: "zone split-a out"},
			{Kind: rules.Added, New: "limit caller d 1/s"},
			{Kind: rules.Removed, Old: "drain target ledger/s/leaf-1/slot-1"},
		}))
	})
})

func FuzzParse(f *testing.F) {
	f.Add(validRules)
	f.Add("zone\tsplit-a out#x\r\n")
	f.Add("move shopfront from 41 to 42 by 2026-12-05T05:00Z first\n# \xff")
	f.Add("limit caller ćevap 1e308/s # a\nlimit caller b -1/s")
	f.Add("drain target a/b/leaf-999999999999/slot-1@v # a")
	f.Fuzz(func(t *testing.T, text string) {
		set, diagnostics := rules.Parse(text, topology)
		for _, m := range diagnostics {
			if m.Line < 1 || m.Column < 1 || m.Problem == "" || m.Fix == "" {
				t.Errorf("incomplete diagnostic %+v", m)
			}
		}
		if len(diagnostics) > 0 {
			return
		}
		for _, r := range set.Rules {
			if r.Comment == "" {
				t.Errorf("rule without comment %+v", r)
			}
		}
		reparsed, diagnostics := rules.Parse(render(set), topology)
		if len(diagnostics) > 0 || len(reparsed.Rules) != len(set.Rules) {
			t.Errorf("rules that were rendered do not parse again: %v", diagnostics)
		}
	})
}

func render(s rules.Set) string {
	var text strings.Builder
	for _, r := range s.Rules {
		text.WriteString(r.Text + " # " + r.Comment + "\n")
	}
	return text.String()
}
