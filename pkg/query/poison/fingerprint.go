package poison

import (
	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/model"
)

// FingerprintOf identifies requests by their parts. The replicated quarantine
// holds fingerprints, so the same parts give the same one in every release.
func FingerprintOf(parts ...string) model.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for i, part := range parts {
		if i > 0 {
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.WriteString(part)
	}
	return model.Fingerprint(d.Sum64())
}
