package jsonlist_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/jsonlist"
)

func TestJSONList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsonlist")
}

var limits = jsonlist.Limits{Bytes: 16 << 10, Depth: 16}

func parse(text string) (*jsonlist.List, error) {
	return jsonlist.Parse([]byte(text), "items", "next", limits)
}

// good returns a well-formed element.
func good(n int) string { return fmt.Sprintf(`{"id":"i-%d","tags":["a","b"],"nested":{"x":%d}}`, n, n) }

func texts(l *jsonlist.List) []string {
	var out []string
	for _, e := range l.Elements {
		out = append(out, string(e))
	}
	return out
}

// oddElements are elements that cannot be used.
var oddElements = map[string]string{
	"nested deeply":                     strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	"nested deeply, in objects":         strings.Repeat(`{"a":`, 3000) + "1" + strings.Repeat("}", 3000),
	"nested deeply and not closed":      strings.Repeat("[", 20000),
	"a long string":                     `{"id":"` + strings.Repeat("x", 2<<20) + `"}`,
	"bytes that are no JSON":            "\x00\xff\xfegarbage",
	"no JSON in braces":                 "{\x00\xff}",
	"an open string":                    `{"id":"i-9`,
	"an open string with a backslash":   `{"id":"i-9\`,
	"an open object":                    `{"id":"i-9"`,
	"an open array":                     `["a"`,
	"a stray closing bracket":           `{"id":1}]`,
	"stray closing brackets":            `]}]}`,
	"a stray closing brace":             `}`,
	"brackets of the wrong kind":        `{"a":[1}]`,
	"two values":                        `{"a":1} {"b":2}`,
	"a comma only":                      `,`,
	"a key without a value":             `{"id":}`,
	"an end of the list inside":         `{"id":"x"],"next":"p-9"}`,
	"quotes of the wrong number":        `{"id":"a"b"c"}`,
	"a string with an object's opening": `{"id":"a,{","x":}`,
}

var _ = Describe("Parse", func() {
	It("returns the elements and the other members", func() {
		l, err := parse(` {"before": {"a": [1]}, "items" : [ ` + good(1) + " ,\n" + good(2) + ` ] , "next" : "p-1" } `)
		Expect(err).NotTo(HaveOccurred())
		Expect(texts(l)).To(Equal([]string{good(1), good(2)}))
		Expect(l.Skipped).To(BeEmpty())
		Expect(string(l.Members["next"])).To(Equal(`"p-1"`))
		Expect(string(l.Members["before"])).To(Equal(`{"a": [1]}`))
	})

	It("accepts an empty list", func() {
		l, err := parse(`{"items":[]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Elements).To(BeEmpty())
		Expect(l.Skipped).To(BeEmpty())
	})

	for name, odd := range oddElements {
		It("keeps the elements around "+name, func() {
			for _, elements := range [][]string{
				{odd, good(1), good(2)}, {good(1), odd, good(2)}, {good(1), good(2), odd}, {odd, good(1), odd, good(2), odd},
			} {
				l, err := parse(`{"items":[` + strings.Join(elements, ",") + `],"next":"p-1"}`)
				Expect(err).NotTo(HaveOccurred())
				Expect(texts(l)).To(ContainElements(good(1), good(2)))
				Expect(l.Skipped).NotTo(BeEmpty())
				Expect(string(l.Members["next"])).To(Equal(`"p-1"`))
			}
		})
	}

	It("fails if the end of the list is missing, since elements may be missing too", func() {
		whole := `{"items":[` + good(1) + "," + good(2) + `],"next":null}`
		for cut := range len(whole) {
			_, err := parse(whole[:cut])
			Expect(err).To(MatchError(jsonlist.ErrIncomplete), whole[:cut])
		}
	})

	It("does not take the end of an array in an element for the end of the list", func() {
		for _, cut := range []string{`{"items":[{"tags":["a"]}`, `{"items":[{"a":1},{"tags":["a"]}`, `{"items":[{"tags":["a"],"x":1}`} {
			_, err := parse(cut)
			Expect(err).To(MatchError(jsonlist.ErrIncomplete), cut)
		}
	})

	It("ends in bounded time however many elements begin", func() {
		_, err := parse(`{"items":[` + strings.Repeat(`,{"`, 1<<20))
		Expect(err).To(MatchError(jsonlist.ErrIncomplete))
	})
})

// FuzzParse inserts any bytes as one element. The elements around it must be kept
// unless the bytes end the list themselves, and nothing may panic.
func FuzzParse(f *testing.F) {
	for _, odd := range oddElements {
		if len(odd) < 1<<10 {
			f.Add([]byte(odd))
		}
	}
	f.Fuzz(func(t *testing.T, odd []byte) {
		if len(odd) > 8<<10 {
			return
		}
		_, _ = jsonlist.Parse(odd, "items", "next", limits)
		l, err := parse(`{"items":[` + good(1) + "," + string(odd) + "," + good(2) + `],"next":"p-1"}`)
		if err != nil {
			t.Fatalf("%q: %v", odd, err)
		}
		for _, element := range []string{good(1), good(2)} {
			if !slices.Contains(texts(l), element) {
				t.Fatalf("%q: lost %s", odd, element)
			}
		}
	})
}
