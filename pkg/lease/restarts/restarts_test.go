package restarts

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
)

// Guards against restarted instances that use the connections of the whole fleet while
// targets still count those of the processes before, and against instances that restrain
// themselves although only one of many has restarted.
func TestEstimate(t *testing.T) {
	id := func(i int) model.InstanceID { return model.InstanceID(fmt.Sprint(i)) }
	renew := func(tr *Tracker, now time.Duration, from, to int, r Renewal) {
		for i := from; i < to; i++ {
			r.Instance = id(i)
			tr.Renewed(now, r)
		}
	}
	for name, c := range map[string]struct {
		events func(tr *Tracker)
		share  float64
	}{
		"first start": {func(tr *Tracker) { renew(tr, 0, 0, 78, Renewal{Boot: "a", New: true}) }, 0},
		"power loss, the first renewal": {func(tr *Tracker) {
			renew(tr, 0, 0, 1, Renewal{Boot: "b", New: true, Recorded: true})
		}, 1},
		"power loss, all instances": {func(tr *Tracker) {
			renew(tr, 0, 0, 78, Renewal{Boot: "b", New: true, Recorded: true})
			renew(tr, time.Second, 0, 78, Renewal{Boot: "b", Recorded: true})
		}, 1},
		"new leader only": {func(tr *Tracker) { renew(tr, 0, 0, 78, Renewal{Boot: "a", Recorded: true}) }, 0},
		"one instance restarted": {func(tr *Tracker) {
			renew(tr, 0, 0, 50, Renewal{Boot: "a", Recorded: true})
			renew(tr, time.Second, 0, 1, Renewal{Boot: "b", New: true, Recorded: true})
		}, 0.02},
		"a lease expired and the instance restarted": {func(tr *Tracker) {
			renew(tr, 0, 0, 50, Renewal{Boot: "a", Recorded: true})
			tr.Expired(time.Second, id(0))
			renew(tr, time.Second, 0, 1, Renewal{Boot: "b", New: true, Recorded: true})
		}, 0.02},
		"a planned restart": {func(tr *Tracker) {
			renew(tr, 0, 0, 50, Renewal{Boot: "a", Recorded: true})
			tr.Returned(id(0))
			renew(tr, time.Second, 0, 1, Renewal{Boot: "b", New: true})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, tr := NewWithT(t), New(6*time.Second)
			c.events(tr)
			tr.Tick(2 * time.Second)
			g.Expect(tr.Estimate(2 * time.Second).Share).To(Equal(c.share))
			tr.Tick(8 * time.Second)
			g.Expect(tr.Estimate(8 * time.Second)).To(BeZero())
		})
	}
}
