package dispatch

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// overtakenView returns the view once it has called overtake.
type overtakenView struct {
	*fixedView
	overtake func()
}

func (v *overtakenView) View() *view.View {
	read := v.fixedView.View()
	if overtake := v.overtake; overtake != nil {
		v.overtake = nil
		overtake()
	}
	return read
}

// A target that had left the list came back with a goroutine that was slow.
func TestViewReadBeforeNewerOneIsNotPutInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		views := &overtakenView{fixedView: f.views}
		f.engine.opts.Views = views
		f.add("s", "a", nil)
		f.add("s", "b", nil)
		f.publish(nil)
		views.overtake = func() {
			f.publish(func(v *view.View) { delete(v.Catalog.Targets, "i-1") })
			f.engine.registryState()
		}
		f.engine.registryState()
		g.Expect(f.engine.registry.current.Load().targets).NotTo(HaveKey(model.TargetID("i-1")))
	})
}
