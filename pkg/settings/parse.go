package settings

import (
	"bytes"
	"cmp"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Parse parses settings and returns every error in them, in order of line. The
// settings are valid only if there are none.
func Parse(text []byte) (*Settings, []Diagnostic) {
	p := &parser{text: text, offsets: make(map[string]int)}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, []Diagnostic{syntaxDiagnostic(err)}
	}
	s := new(Settings)
	p.decode(root, reflect.ValueOf(s).Elem(), "")
	p.applyDefaults(s)
	p.check(s)
	slices.SortStableFunc(p.diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(a.Line-b.Line, a.Column-b.Column)
	})
	return s, p.diagnostics
}

// syntaxDiagnostic converts a syntax error. It reads the position from the text
// of the error, since the library reports it in no other form.
func syntaxDiagnostic(err error) Diagnostic {
	m := Diagnostic{
		Line: 1, Column: 1, Path: "settings",
		Problem: "not JSON with comments: " + err.Error(),
		Fix:     "correct the syntax at this position",
	}
	// Without a match the position stays at the start of the file.
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &m.Line, &m.Column)
	return m
}

// parser decodes a syntax tree into settings and records the position of each
// field, so that later checks can report it.
type parser struct {
	text        []byte
	offsets     map[string]int
	diagnostics []Diagnostic
}

// report adds a diagnostic at the position of path, or of its nearest ancestor
// that is present in the file.
func (p *parser) report(path, problem, fix string) {
	line, column := p.position(p.offsetOf(path))
	if path == "" {
		path = "settings"
	}
	p.diagnostics = append(p.diagnostics, Diagnostic{Line: line, Column: column, Path: path, Problem: problem, Fix: fix})
}

func (p *parser) offsetOf(path string) int {
	for path != "" {
		if offset, ok := p.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return p.offsets[""]
}

func (p *parser) isSet(path string) bool {
	_, ok := p.offsets[path]
	return ok
}

func (p *parser) position(offset int) (line, column int) {
	before := p.text[:min(offset, len(p.text))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

func (p *parser) decode(v hujson.Value, target reflect.Value, path string) {
	p.offsets[path] = v.StartOffset
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		p.decodeText(v, u, path)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		p.decode(v, target.Elem(), path)
	case reflect.Struct:
		p.decodeObject(v, target, path)
	case reflect.Slice:
		p.decodeArray(v, target, path)
	default:
		p.decodeLiteral(v, target, path)
	}
}

func (p *parser) decodeText(v hujson.Value, u encoding.TextUnmarshaler, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		p.report(path, "not a string", textFix(u))
		return
	}
	if err := u.UnmarshalText([]byte(literal.String())); err != nil {
		p.report(path, err.Error(), textFix(u))
	}
}

func textFix(u encoding.TextUnmarshaler) string {
	if _, ok := u.(*Duration); ok {
		return `write a time with its unit, such as "500ms" or "2s"`
	}
	return `write an IP address and port, such as "127.0.0.1:7101"`
}

func (p *parser) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.report(path, "not an object", "write { … }")
		return
	}
	fields := fieldsByName(target.Type())
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := join(path, name)
		index, known := fields[name]
		if !known {
			p.offsets[child] = member.Name.StartOffset
			p.report(child, "unknown field", "use one of "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		if seen[name] {
			p.report(child, "field given twice", "keep one of them")
		}
		seen[name] = true
		p.decode(member.Value, target.Field(index), child)
	}
}

func (p *parser) decodeArray(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.report(path, "not a list", "write [ … ]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		p.decode(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *parser) decodeLiteral(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && json.Unmarshal(literal, target.Addr().Interface()) == nil && literal.Kind() != 'n' {
		return
	}
	p.report(path, "wrong type", "write "+describeKind(target.Kind()))
}

func describeKind(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func sortedNames(fields map[string]int) []string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}
