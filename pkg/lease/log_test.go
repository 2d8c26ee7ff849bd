package lease

import (
	"bytes"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

func TestControlLossIsReportedOnceUntilARenewalSucceeds(t *testing.T) {
	g := NewWithT(t)
	const limit = 3 * time.Second
	var c controlContact
	c.recordSuccess(time.Second)
	_, lost := c.recordFailure(3*time.Second, limit)
	g.Expect(lost).To(BeFalse())
	sinceSuccess, lost := c.recordFailure(4*time.Second, limit)
	g.Expect(lost).To(BeTrue())
	g.Expect(sinceSuccess).To(Equal(3 * time.Second))
	_, lost = c.recordFailure(5*time.Second, limit)
	g.Expect(lost).To(BeFalse())
	c.recordSuccess(6 * time.Second)
	_, lost = c.recordFailure(9*time.Second, limit)
	g.Expect(lost).To(BeTrue())
}

func TestLogsNewTablesAndEvacuations(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	g.Expect(events.Setup(&log, "json", "info")).To(Succeed())
	defer func() { g.Expect(events.Setup(os.Stderr, "json", "info")).To(Succeed()) }()
	old := &view.View{}
	next := &view.View{
		Routing:   routing.NewIndex(&routing.Table{Version: 7}),
		Evacuated: map[model.AvailabilityZoneID]bool{"b": true, "a": true},
	}
	logChanges(old, next, 31)
	g.Expect(log.String()).To(And(ContainSubstring(`"event":"RT4010"`), ContainSubstring(`"version":7`)))
	g.Expect(log.String()).To(And(ContainSubstring(`"event":"RT4011"`), ContainSubstring(`["a","b"]`), ContainSubstring(`"stateVersion":31`)))
	log.Reset()
	logChanges(next, next, 32)
	g.Expect(log.String()).To(BeEmpty())
}

func TestLogsOnlyOlderStatesFromTheLeader(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	g.Expect(events.Setup(&log, "json", "info")).To(Succeed())
	defer func() { g.Expect(events.Setup(os.Stderr, "json", "info")).To(Succeed()) }()
	h := &holder{view: &view.View{Routing: routing.NewIndex(&routing.Table{Version: 7})}, configVersion: 31}
	for _, d := range []*state.Delta{
		nil, {From: 31, To: 31}, {From: 31, To: 33, Table: &routing.TableDelta{From: 7, To: 8}}, {To: 31, Table: &routing.TableDelta{To: 7}},
	} {
		logOlderState(&wire.RenewalReply{Delta: d}, h)
	}
	g.Expect(log.String()).To(BeEmpty())
	logOlderState(&wire.RenewalReply{Leader: "a", Delta: &state.Delta{To: 30}}, h)
	g.Expect(log.String()).To(And(ContainSubstring(`"event":"RT4014"`), ContainSubstring(`"stateVersion":30`), ContainSubstring(`"heldVersion":31`)))
	log.Reset()
	logOlderState(&wire.RenewalReply{Leader: "a", Delta: &state.Delta{To: 32, Table: &routing.TableDelta{To: 6}}}, h)
	g.Expect(log.String()).To(And(ContainSubstring(`"event":"RT4014"`), ContainSubstring(`"tableVersion":6`)))
}
