package load_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := events.Setup(GinkgoWriter, "text", "info"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "Load")
}
