package state_test

import (
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/state"
)

const (
	// evacuationCallsKey and quarantinedKey are keys in an encoded snapshot;
	// quarantineUntilKey is the last one in a quarantine of an earlier build.
	evacuationCallsKey = 14
	quarantinedKey     = 6
	quarantineUntilKey = 4
)

// restoredFromEarlierBuild restores a state from a snapshot as a build before operators'
// calls had IDs wrote it.
func restoredFromEarlierBuild(s *state.State) *state.State {
	GinkgoHelper()
	snapshot, err := s.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	var fields map[int]cbor.RawMessage
	Expect(cbor.Unmarshal(snapshot, &fields)).To(Succeed())
	delete(fields, evacuationCallsKey)
	fields[quarantinedKey] = asInEarlierBuild(fields[quarantinedKey])
	earlier, err := cbor.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	restored := state.New()
	Expect(restored.Restore(earlier)).To(Succeed())
	return restored
}

func asInEarlierBuild(encoded cbor.RawMessage) cbor.RawMessage {
	GinkgoHelper()
	var quarantined map[model.Fingerprint]map[int]cbor.RawMessage
	Expect(cbor.Unmarshal(encoded, &quarantined)).To(Succeed())
	for _, q := range quarantined {
		for key := range q {
			if key > quarantineUntilKey {
				delete(q, key)
			}
		}
	}
	b, err := cbor.Marshal(quarantined)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// Guards against members that disagree on whether a call is accepted: one has read the
// commands of an earlier build from its log, the other has the earlier build's snapshot.
var _ = Describe("Members that start after an earlier build", func() {
	It("agree on calls on an availability zone", func() {
		fromLog := state.New()
		fromLog.Apply(1, &state.Command{Evacuate: &state.Evacuate{AvailabilityZone: "a"}})
		fromSnapshot := restoredFromEarlierBuild(fromLog)
		Expect(isEvacuated(fromSnapshot)).To(BeTrue())

		for i, leader := range []*state.State{fromLog, fromSnapshot} {
			call := &state.Command{Evacuate: &state.Evacuate{
				AvailabilityZone: "a", End: i == 0, Call: control.CallID(string(rune('p' + i))), Expected: leader.EvacuationIndex("a"),
			}}
			index := uint64(2 + i)
			Expect(fromSnapshot.Apply(index, call)).To(Equal(fromLog.Apply(index, call)))
			Expect(isEvacuated(fromSnapshot)).To(Equal(isEvacuated(fromLog)))
		}
	})

	It("agree on calls to lift a quarantine", func() {
		fromLog := state.New()
		fromLog.Apply(1, quarantining())
		Expect(fromLog.Quarantined()).To(HaveLen(1))
		fromSnapshot := restoredFromEarlierBuild(fromLog)
		lift := &state.Command{LiftQuarantine: &state.LiftQuarantine{Fingerprint: 7, Author: "ivo", Began: fromLog.Quarantined()[0].At.Unix()}}
		Expect(fromSnapshot.Apply(2, lift)).To(Equal(fromLog.Apply(2, lift)))
	})
})
