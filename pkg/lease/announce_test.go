package lease

import (
	"bytes"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

func TestContactIsLostOnceUntilARenewalSucceeds(t *testing.T) {
	g := NewWithT(t)
	const limit = 3 * time.Second
	var c contact
	c.succeeded(time.Second)
	_, lost := c.failed(3*time.Second, limit)
	g.Expect(lost).To(BeFalse())
	silence, lost := c.failed(4*time.Second, limit)
	g.Expect(lost).To(BeTrue())
	g.Expect(silence).To(Equal(3 * time.Second))
	_, lost = c.failed(5*time.Second, limit)
	g.Expect(lost).To(BeFalse())
	c.succeeded(6 * time.Second)
	_, lost = c.failed(9*time.Second, limit)
	g.Expect(lost).To(BeTrue())
}

func TestAnnouncesTablesAndEvacuationsThatAreNew(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	g.Expect(events.Setup(&log, "json", "info")).To(Succeed())
	defer func() { g.Expect(events.Setup(os.Stderr, "json", "info")).To(Succeed()) }()
	old := &view.View{}
	next := &view.View{
		Routing:   routing.NewIndex(&routing.Table{Version: 7}),
		Evacuated: map[model.AvailabilityZoneID]bool{"b": true, "a": true},
	}
	announceChanges(old, next)
	g.Expect(log.String()).To(And(ContainSubstring(`"event":"RT4010"`), ContainSubstring(`"version":7`)))
	g.Expect(log.String()).To(And(ContainSubstring(`"event":"RT4011"`), ContainSubstring(`["a","b"]`)))
	log.Reset()
	announceChanges(next, next)
	g.Expect(log.String()).To(BeEmpty())
}
