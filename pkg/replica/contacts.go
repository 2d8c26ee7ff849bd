package replica

import (
	"slices"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/model"
)

// maxContacts limits the instances in contacts.
const maxContacts = 16

// contacts are the instances that have sent messages to another disk of this instance,
// most recent last. They are members of the group that this instance belonged to before
// it lost its disk, and may be the only ones through which it finds the group again: the
// instances in its settings may have lost their disks too, or no longer exist.
type contacts []model.InstanceID

// record returns c with the senders of those messages that were sent to another disk of
// self. It returns c itself if there are none, since published contacts are not modified.
func (c contacts) record(self Member, messages []consensus.Message) contacts {
	for _, m := range messages {
		if m.To.Instance != self.Instance || m.To.Disk == self.Disk || slices.Contains(c, m.From.Instance) {
			continue
		}
		c = append(slices.Clone(c), m.From.Instance)
		c = c[max(0, len(c)-maxContacts):]
	}
	return c
}
