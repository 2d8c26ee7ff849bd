package cli_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommandLine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command line")
}
