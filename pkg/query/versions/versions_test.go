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
	It("gives the new version to callers below the share only, and to none once it is taken back or stopped", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := view.Move{From: "41", To: "42", Share: rapid.Float64Range(0, 1).Draw(t, "share"), Reverted: rapid.Bool().Draw(t, "back")}
			stopped := rapid.Bool().Draw(t, "stopped")
			fraction := rapid.Float64Range(0, 0.999).Draw(t, "caller")
			c := versions.ForMove(m, fraction, func(model.VersionID) bool { return stopped })
			rank := c.Rank("42")
			switch {
			case m.Reverted || stopped:
				if rank != versions.Excluded {
					t.Fatal("a version that was taken back or stopped is used")
				}
			case fraction < m.Share && rank != versions.Primary:
				t.Fatal("a caller below the share does not get the new version")
			case fraction >= m.Share && rank == versions.Primary:
				t.Fatal("a caller above the share gets the new version")
			case fraction >= m.Share && m.Share < 0.5 && rank != versions.Excluded:
				t.Fatal("a version that is not trusted yet is a fallback for the old one")
			}
			if c.Rank("41") == versions.Excluded || c.Rank("40") != versions.Excluded {
				t.Fatal("the old version is excluded, or an unrelated one is not")
			}
		})
	})

	It("keeps a caller at its version while the share grows", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fraction := rapid.Float64Range(0, 0.999).Draw(t, "caller")
			moved := false
			for _, share := range []float64{0.01, 0.05, 0.25, 0.5, 1} {
				isNew := versions.ForMove(view.Move{From: "41", To: "42", Share: share}, fraction, notStopped).Rank("42") == versions.Primary
				if moved && !isNew {
					t.Fatal("a caller went back to the old version")
				}
				moved = isNew
			}
			if !moved {
				t.Fatal("a caller never moved")
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

var _ = Describe("local evidence", func() {
	move := view.Move{From: "41", To: "42", Share: 0.05}

	It("stops a version that fails at once", func() {
		var e versions.Evidence
		reason := ""
		for n := 0; reason == ""; n++ {
			Expect(n).To(BeNumerically("<", 10))
			e.Add(move, "41", true)
			reason = e.Add(move, "42", false)
		}
		Expect(e.Stopped("42")).To(BeTrue())
		Expect(e.Stopped("41")).To(BeFalse())
	})

	It("counts the requests lost in one crash as one failure", func() {
		var e versions.Evidence
		for range 20 {
			Expect(e.AddCrash(move, "42", versions.Incarnation{Target: "t1", Boot: "b1"})).To(BeEmpty())
		}
		Expect(e.Stopped("42")).To(BeFalse())
	})

	It("stops a version whose targets crash one after the other", func() {
		var e versions.Evidence
		reason := ""
		for n := 0; reason == ""; n++ {
			Expect(n).To(BeNumerically("<", 10))
			reason = e.AddCrash(move, "42", versions.Incarnation{Target: "t1", Boot: model.BootID(fmt.Sprint(n))})
		}
		Expect(e.Stopped("42")).To(BeTrue())
	})

	It("does not stop the new version for a fault that both versions show", func() {
		var e versions.Evidence
		for range 100 {
			e.Add(move, "41", false)
			Expect(e.Add(move, "42", false)).To(BeEmpty())
		}
	})

	It("is reset when an operator writes the move again", func() {
		var e versions.Evidence
		for range 10 {
			e.Add(move, "42", false)
		}
		back := move
		back.Reverted = true
		e.Track(back, true)
		Expect(e.Stopped("42")).To(BeTrue())
		e.Track(move, true)
		Expect(e.Stopped("42")).To(BeFalse())
	})
})
