package cli_test

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/cli"
)

var _ = DescribeTable("load rejects",
	func(message string, args ...string) {
		command := cli.Command()
		command.SetOut(io.Discard)
		command.SetArgs(append([]string{"load"}, args...))
		err := command.Execute()
		Expect(err).To(MatchError(ContainSubstring(message)))
		Expect(cli.ExitCodeOf(err)).To(Equal(cli.ExitInvalid))
	},
	Entry("a missing file", "no such file", "nothing.jsonc"),
	Entry("an unknown variant", `no variant "none"`, "../../experiments/demo.jsonc", "--variant", "none"),
	Entry("a variant whose name has a comma", `no variant "a, b"`, "../../experiments/demo.jsonc", "--variant", "a, b"),
	Entry("a load without a stand-in", "--standin", "--entries", "127.0.0.1:8101"),
	Entry("an address that is not on loopback", "not a loopback address", "--entries", "192.0.2.1:80", "--standin", "127.0.0.1:7001"),
	Entry("a load without bounds", "load.maxRequests: must be above 0", "--standin", "127.0.0.1:7001", "--collection", "shopfront", "--rate", "1"),
)
