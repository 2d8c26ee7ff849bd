package boottime

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAPauseIsNoticedByWhoeverLooksFirst(t *testing.T) {
	g := NewWithT(t)
	var w PauseWatch
	g.Expect(w.observe(5*time.Second, time.Second)).To(BeFalse())
	g.Expect(w.observe(5*time.Second+PauseLimit, time.Second)).To(BeFalse())
	resumed := 5*time.Second + 3*PauseLimit
	g.Expect(w.observe(resumed, time.Second)).To(BeTrue())
	for t := resumed; t < resumed+time.Second; t += watchInterval {
		g.Expect(w.observe(t, time.Second)).To(BeTrue())
	}
	g.Expect(w.observe(resumed+time.Second, time.Second)).To(BeFalse())
}
