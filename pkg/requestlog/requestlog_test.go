package requestlog_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/requestlog"
)

func TestRequestLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requestlog")
}

const first = `  8.1 entry-1 {"fields":{"event":"RT5007","target":"i-9","reason":"listed as leaving"},"level":"info","timestamp":"2026-01-30T07:00:01Z","message":"target is leaving"}
not a line of this system
{"fields":{"event":"RT1005"},"level":"info","timestamp":"2026-01-30T06:00:00Z","message":"instance is ready"}
{"fields":{"event":"RT5017","request":"abc","milliseconds":1961,"status":504,"error":"gather parts: 84 of 90 parts came","late":"s1=i-9","denied":3},"level":"warn","timestamp":"2026-01-30T07:00:03Z","message":"request failed"}
`

// The clock of the second log is several hours ahead.
const second = `{"fields":{"event":"RT3002","leader":"x"},"level":"info","timestamp":"2026-01-30T12:00:00Z","message":"leader elected"}
`

var _ = Describe("Collect", func() {
	read := func(name, text string) []requestlog.Line {
		lines, err := requestlog.Read(name, strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		return lines
	}

	It("returns the lines about the request and the state changes just before it", func() {
		s := requestlog.Collect("abc", [][]requestlog.Line{read("a", first), read("b", second)})
		Expect(s.Lines).To(HaveLen(1))
		Expect(s.StateChanges).To(HaveLen(1))
		Expect(s.StateChanges[0].Event).To(Equal("RT5007"))
		Expect(s.Conclusion()).To(ContainSubstring("84 of 90 parts came"))
		Expect(s.Conclusion()).To(ContainSubstring("s1=i-9"))
	})

	It("bases the conclusion on the final event, even if other lines follow it", func() {
		sent := `{"fields":{"event":"RT5024","request":"abc","target":"i-9","result":"pending"},"level":"info","timestamp":"2026-01-30T07:00:03.1Z","message":"request to a target"}`
		s := requestlog.Collect("abc", [][]requestlog.Line{read("a", first+sent)})
		Expect(s.Lines).To(HaveLen(2))
		Expect(s.Conclusion()).To(ContainSubstring("84 of 90 parts came"))
	})

	It("reports that a request was in progress when its log ended", func() {
		admitted := `{"fields":{"event":"RT5021","request":"abc","route":"r"},"level":"info","timestamp":"2026-01-30T07:00:01Z","message":"request admitted"}` + "\n"
		late := `{"fields":{"event":"RT5025","request":"abc","milliseconds":201,"waiting":2,"late":["s1=i-9@0:pending"]},"level":"info","timestamp":"2026-01-30T07:00:02Z","message":"late"}`
		s := requestlog.Collect("abc", [][]requestlog.Line{read("a", admitted)})
		Expect(s.Conclusion()).To(ContainSubstring("in progress when its log ends"))
		s = requestlog.Collect("abc", [][]requestlog.Line{read("a", admitted+late)})
		Expect(s.Conclusion()).To(ContainSubstring("s1=i-9@0:pending"))
	})

	It("reports that no log mentions the request", func() {
		s := requestlog.Collect("other", [][]requestlog.Line{read("a", first)})
		Expect(s.Conclusion()).To(ContainSubstring("no log mentions"))
	})
})
