package events_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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

// catalogueRow returns the row of docs/EVENTS.md up to the fields.
func catalogueRow(e events.Event) string {
	fields := strings.Join(e.Fields, ", ")
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("| %s | %s | %s |", e.Number, e.Level, fields)
}

var _ = Describe("Catalogue", func() {
	It("agrees with docs/EVENTS.md in number, level and fields", func() {
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

	It("is in order of number, without duplicates", func() {
		for i := 1; i < len(events.Catalogue); i++ {
			Expect(events.Catalogue[i].Number).To(BeNumerically(">", events.Catalogue[i-1].Number))
		}
	})
})

var _ = Describe("Emit", func() {
	It("writes number, message and named fields, with errors as text", func() {
		var out bytes.Buffer
		Expect(events.Setup(&out, "json", "info")).To(Succeed())
		events.Emit(events.PlatformListLost, errors.New("refused"))
		var line struct {
			Message string
			Fields  map[string]string
		}
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line.Message).To(Equal("platform list cannot be read"))
		Expect(line.Fields).To(Equal(map[string]string{"event": "RT1101", "error": "refused"}))
	})
})
