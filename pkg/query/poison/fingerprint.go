package poison

import (
	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/model"
)

// FingerprintOf returns the fingerprint that identifies requests with the given
// parts. The replicated quarantine stores fingerprints, so the same parts must
// give the same fingerprint in every release.
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
