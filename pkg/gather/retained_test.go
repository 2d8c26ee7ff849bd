package gather_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/gather"
)

// The records of a part kept its whole reply in memory, beyond the time for which it was
// reserved.
func TestTopKeepsNoPart(t *testing.T) {
	g := NewWithT(t)
	part := []byte("0123456789abcdef")
	top := gather.NewTop(1)
	top.Add(part)
	clear(part)
	g.Expect(string(top.Bytes())).To(Equal("0123456789abcdef"))
}
