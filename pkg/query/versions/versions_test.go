package versions_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/view"
)

func notStopped(model.VersionID) bool { return false }

var _ = Describe("the choice of a version", func() {
	It("gives the new version to requests whose position is below the share only, and to none once it is rolled back or stopped", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := view.Move{From: "41", To: "42", Share: rapid.Float64Range(0, 1).Draw(t, "share"), Reverted: rapid.Bool().Draw(t, "reverted")}
			stopped := rapid.Bool().Draw(t, "stopped")
			position := rapid.Float64Range(0, 0.999).Draw(t, "position")
			c := versions.ForMove(m, position, func(model.VersionID) bool { return stopped })
			rank := c.Rank("42")
			switch {
			case m.Reverted || stopped:
				if rank != versions.Excluded {
					t.Fatal("a version that was rolled back or stopped is used")
				}
			case position < m.Share && rank != versions.Primary:
				t.Fatal("a request below the share does not get the new version")
			case position >= m.Share && rank == versions.Primary:
				t.Fatal("a request above the share gets the new version")
			case position >= m.Share && m.Share < 0.5 && rank != versions.Excluded:
				t.Fatal("a version that is not trusted yet is a fallback for the old one")
			}
			if c.Rank("41") == versions.Excluded || c.Rank("40") != versions.Excluded {
				t.Fatal("the old version is excluded, or an unrelated one is not")
			}
		})
	})

	It("keeps the new version for a position while the share grows", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			position := rapid.Float64Range(0, 0.999).Draw(t, "position")
			moved := false
			for _, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
				isNew := versions.ForMove(view.Move{From: "41", To: "42", Share: share}, position, notStopped).Rank("42") == versions.Primary
				if moved && !isNew {
					t.Fatal("a position went back to the old version")
				}
				moved = isNew
			}
			if !moved {
				t.Fatal("a position never got the new version")
			}
		})
	})

	It("uses a version that appears without a move only as a fallback", func() {
		established := versions.Established("41", map[model.VersionID]int{"41": 3, "42": 30})
		Expect(established).To(Equal(model.VersionID("41")))
		Expect(versions.WithoutMove(established).Rank("42")).To(Equal(versions.Fallback))
		Expect(versions.Established("41", map[model.VersionID]int{"42": 3})).To(Equal(model.VersionID("42")))
	})
})

var _ = Describe("the stop detector", func() {
	move := view.Move{From: "41", To: "42", Share: 0.05}

	It("stops a version that fails at once", func() {
		var d versions.StopDetector
		reason := ""
		for n := 0; reason == ""; n++ {
			Expect(n).To(BeNumerically("<", 10))
			d.Add(move, "41", true)
			reason = d.Add(move, "42", false)
		}
		Expect(d.Stopped("42")).To(BeTrue())
		Expect(d.Stopped("41")).To(BeFalse())
	})

	It("counts the requests lost in one crash as one failure", func() {
		var d versions.StopDetector
		for range 20 {
			Expect(d.AddCrash(move, "42", versions.Incarnation{Target: "t1", Boot: "b1"})).To(BeEmpty())
		}
		Expect(d.Stopped("42")).To(BeFalse())
	})

	It("stops a version whose targets crash one after the other", func() {
		var d versions.StopDetector
		reason := ""
		for n := 0; reason == ""; n++ {
			Expect(n).To(BeNumerically("<", 10))
			reason = d.AddCrash(move, "42", versions.Incarnation{Target: "t1", Boot: model.BootID(fmt.Sprint(n))})
		}
		Expect(d.Stopped("42")).To(BeTrue())
	})

	It("does not stop the new version for a fault that both versions show", func() {
		var d versions.StopDetector
		for range 100 {
			d.Add(move, "41", false)
			Expect(d.Add(move, "42", false)).To(BeEmpty())
		}
	})

	It("is reset when an operator starts the same move again after a rollback", func() {
		var d versions.StopDetector
		for range 10 {
			d.Add(move, "42", false)
		}
		rolledBack := move
		rolledBack.Reverted = true
		d.Track(rolledBack, true)
		Expect(d.Stopped("42")).To(BeTrue())
		d.Track(move, true)
		Expect(d.Stopped("42")).To(BeFalse())
	})
})
