package events_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/events"
)

func TestEvents(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "events")
}

// catalogueRow returns the row that docs/EVENTS.md must have for e, up to the fields.
func catalogueRow(e events.Event) string {
	fields := strings.Join(e.Fields, ", ")
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("| %s | %s | %s |", e.Number, e.Level, fields)
}

var _ = Describe("Catalogue", func() {
	It("matches docs/EVENTS.md in number, level and fields", func() {
		page, err := os.ReadFile("../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		rows := 0
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| RT") {
				rows++
			}
		}
		Expect(rows).To(Equal(len(events.Catalogue)))
		for _, e := range events.Catalogue {
			Expect(string(page)).To(ContainSubstring("\n" + catalogueRow(e)))
		}
	})

	It("is ordered by number, without duplicates", func() {
		for i := 1; i < len(events.Catalogue); i++ {
			Expect(events.Catalogue[i].Number).To(BeNumerically(">", events.Catalogue[i-1].Number))
		}
	})
})

// logLine holds the parts of a log line that the specs check.
type logLine struct {
	Message string
	Fields  map[string]string
}

func read(out *bytes.Buffer) logLine {
	GinkgoHelper()
	var line logLine
	Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	return line
}

var _ = Describe("Emit", func() {
	It("writes number, message and named fields, with errors as text", func() {
		var out bytes.Buffer
		Expect(events.Setup(&out, "json", "info")).To(Succeed())
		events.Emit(events.PlatformListUnavailable, errors.New("refused"))
		Expect(read(&out)).To(Equal(logLine{
			Message: "platform list cannot be read",
			Fields:  map[string]string{"event": "RT1101", "error": "refused"},
		}))
	})

	It("writes addresses as text", func() {
		var out bytes.Buffer
		Expect(events.Setup(&out, "json", "info")).To(Succeed())
		events.Emit(events.ListenerServing, "callers", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 8101})
		Expect(read(&out).Fields).To(HaveKeyWithValue("address", "127.0.0.1:8101"))
	})
})
