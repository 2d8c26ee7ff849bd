package grant_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGrant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "grant")
}
