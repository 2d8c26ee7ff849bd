package server_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/mesh"
)

// Guards against an acknowledged evacuation that an older call ends, if the close of the
// older call's connection is lost on the way.
func TestACallWhoseOperatorsCloseIsLostUndoesNoNewerCall(t *testing.T) {
	for _, held := range []struct {
		name  string
		kinds []mesh.Kind
	}{
		{"its command comes late", []mesh.Kind{wire.KindEvacuate, wire.KindRelay}},
		{"its question for the newest command comes late", []mesh.Kind{wire.KindEvacuation, wire.KindRelay}},
	} {
		t.Run(held.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, fl *fleet) {
				g := NewWithT(t)
				time.Sleep(settleTime)
				g.Expect(evacuate(fl, 4, "a", false)).To(Succeed())

				release := fl.network.hold(fl.instances[5].id, held.kinds...)
				older := evacuateInBackground(fl, 5, func() bool { return true }, true)
				time.Sleep(time.Second)
				g.Expect(evacuate(fl, 4, "a", false)).To(Succeed())
				release()
				<-older
				time.Sleep(settleTime)
				g.Expect(evacuated(fl, 3, "a")).To(BeTrue())
			})
		})
	}
}
