package settings_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/settings"
)

const (
	dalmacija = "../../config/dalmacija.jsonc"
	beCentral = "../../config/be-central.jsonc"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func sample() string {
	text, err := os.ReadFile(dalmacija)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// lineOf returns the line, from 1, on which fragment starts.
func lineOf(text, fragment string) int {
	before, _, found := strings.Cut(text, fragment)
	Expect(found).To(BeTrue(), fragment)
	return 1 + strings.Count(before, "\n")
}

var _ = Describe("Parse", func() {
	DescribeTable("accepts the sample settings", func(file string, collections int) {
		s, err := settings.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Collections).To(HaveLen(collections))
	},
		Entry("Dalmacija", dalmacija, 4),
		Entry("Be-central", beCentral, 4),
	)

	DescribeTable("reports an error with line, field and fix", func(old, replacement, path, problem string) {
		text := strings.Replace(sample(), old, replacement, 1)
		_, diagnostics := settings.Parse([]byte(text))
		Expect(diagnostics).To(HaveLen(1))
		Expect(diagnostics[0].Path).To(Equal(path))
		Expect(diagnostics[0].Problem).To(ContainSubstring(problem))
		Expect(diagnostics[0].Fix).NotTo(BeEmpty())
		Expect(diagnostics[0].Line).To(Equal(lineOf(text, replacement)))
	},
		Entry("unknown field", `"balancerLag"`, `"balancerLug"`, "platform.balancerLug", "unknown field"),
		Entry("number without unit", `"balancerLag": "5s"`, `"balancerLag": 5`, "platform.balancerLag", "not a string"),
		Entry("wrong unit", `"5s"`, `"5 parsecs"`, "platform.balancerLag", "unknown unit"),
		Entry("strict revocation without a bound", `"callers":`, `"revocation": {"strict": true}, "callers":`, "revocation.bound", "not greater than zero"),
		Entry("duplicate id", `"id": "village", "priority": 1`, `"id": "bakery", "priority": 1`, "callers[1].id", "given twice"),
		Entry("port clash", `"adminListen": "10.20.1.11:9443"`, `"adminListen": "10.20.1.11:8080"`, "instance.adminListen", "same port"),
		Entry("availability zone not declared", `"availabilityZone": "split-a"`, `"availabilityZone": "split-b"`, "instance.availabilityZone", "not declared"),
		Entry("limit of zero", `"connections": 30`, `"connections": 0`, "collections[0].connections", "not greater than zero"),
		Entry("share above one", `"coverage": 0.99`, `"coverage": 99`, "collections[0].objectives.coverage", "not a share"),
		Entry("even number of members", `["split-1", "zadar-1", "sibenik-1"]`, `["split-1", "zadar-1"]`, "control.members", "2 members"),
		Entry("unknown hedge mode", `"connectTime": "6ms"`, `"hedge": {"mode": "often"}`, "collections[0].hedge.mode", "not a mode"),
		Entry("fixed hedge without delay", `"connectTime": "6ms"`, `"hedge": {"mode": "fixed"}`, "collections[0].hedge.delay", "not greater"),
		Entry("negative memory", `"callerListen"`, `"memoryMB": -1, "callerListen"`, "instance.memoryMB", "negative"),
		Entry("grace too short for the balancer", `"platform": {`, `"stop": {"grace": "14s"}, "platform": {`, "stop.grace", "shorter than 3 times platform.balancerLag"),
		Entry("unknown duty", `"platform": {`, `"duties": {"names": ["billing"], "holderName": "n", "lease": "3s", "callsPerSecond": 50, "usageWindow": "5s", "usageLate": "10s"}, "platform": {`, "duties.names[0]", "no duty"),
		Entry("duty without a window", `"platform": {`, `"duties": {"names": ["usage"], "holderName": "n", "lease": "3s", "callsPerSecond": 50, "usageLate": "10s"}, "platform": {`, "duties.usageWindow", "not greater than zero"),
		Entry("host name", `"10.20.1.11:8080"`, `"split:8080"`, "instance.callerListen", ""),
	)

	It("reports all errors together, in order of line", func() {
		text := strings.NewReplacer(`"balancerLag"`, `"lag"`, `"connections": 30`, `"connections": -1`).Replace(sample())
		_, diagnostics := settings.Parse([]byte(text))
		Expect(diagnostics).To(HaveLen(3))
		Expect(diagnostics[0].Path).To(Equal("platform.lag"))
		Expect(diagnostics[1].Path).To(Equal("collections[0].connections"))
		Expect(diagnostics[2].Path).To(Equal("collections[1].connections"))
	})

	It("reports the position of a syntax error", func() {
		_, diagnostics := settings.Parse([]byte("{\n  \"instance\": [}\n"))
		Expect(diagnostics).To(HaveLen(1))
		Expect(diagnostics[0].Line).To(Equal(2))
	})
})

func FuzzParse(f *testing.F) {
	for _, file := range []string{dalmacija, beCentral} {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"collections": [{"id": 1}], "peers": {}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, diagnostics := settings.Parse(text)
		if s == nil && len(diagnostics) == 0 {
			t.Fatal("neither settings nor diagnostics")
		}
	})
}
