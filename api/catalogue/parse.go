package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"tanagerwood.dev/api/platform"
)

// Problems is a list of validation errors that implements error.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// String formats the problem on one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "catalogue"
	}
	return path + ": " + p.Message + "; " + p.Remedy
}

// Check parses and validates a catalogue. It may be applied only if there are no problems.
func Check(data []byte) (Catalogue, Problems) {
	c, problems := parse(data)
	if len(problems) > 0 {
		return Catalogue{}, problems
	}
	return c, Validate(c)
}

// Parse decodes a catalogue. Unknown fields, wrong types, duplicate keys and trailing data are rejected, because otherwise
// each of them would silently drop what an operator wrote. The error is of type Problems. A list may be null, which means
// empty.
func Parse(data []byte) (Catalogue, error) {
	c, problems := parse(data)
	if len(problems) > 0 {
		return Catalogue{}, problems
	}
	return c, nil
}

// Marshal encodes a catalogue as indented JSON, for people to edit.
func Marshal(c Catalogue) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	err := e.Encode(c)
	return out.Bytes(), err
}

func parse(data []byte) (Catalogue, Problems) {
	if len(data) > platform.MaxValueBytes {
		return Catalogue{}, Problems{{
			Message: fmt.Sprintf("the catalogue has %d bytes", len(data)),
			Remedy:  fmt.Sprintf("shorten it to the platform's limit of %d bytes", platform.MaxValueBytes),
		}}
	}
	if problem, ok := syntax(data); !ok {
		return Catalogue{}, Problems{problem}
	}
	var found collector
	found.value("", data, reflect.TypeFor[Catalogue]())
	if len(found.problems) > 0 {
		return Catalogue{}, found.problems
	}
	var c Catalogue
	if err := json.Unmarshal(data, &c); err != nil {
		return Catalogue{}, Problems{{Message: err.Error(), Remedy: "correct the JSON"}}
	}
	return c, nil
}

// syntax checks that data is exactly one JSON value.
func syntax(data []byte) (Problem, bool) {
	d := json.NewDecoder(bytes.NewReader(data))
	var value json.RawMessage
	if err := d.Decode(&value); err != nil {
		return Problem{Message: fmt.Sprintf("not JSON: %v near byte %d", err, d.InputOffset()), Remedy: "correct the JSON"}, false
	}
	if _, err := d.Token(); err != io.EOF {
		return Problem{
			Message: fmt.Sprintf("data after the catalogue at byte %d", d.InputOffset()),
			Remedy:  "leave only one JSON object in the file",
		}, false
	}
	return Problem{}, true
}

// collector gathers problems.
type collector struct{ problems Problems }

func (c *collector) add(path, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// value checks that valid JSON matches the type. encoding/json alone would accept duplicate keys and names in
// another case, and would stop at the first unknown field.
func (c *collector) value(path string, raw json.RawMessage, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		c.object(path, raw, t)
	case reflect.Slice:
		c.list(path, raw, t)
	default:
		c.scalar(path, raw, t)
	}
}

func (c *collector) object(path string, raw json.RawMessage, t reflect.Type) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		c.add(path, "write an object", "expected an object, found %s", jsonType(raw))
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for d.More() {
		key, err := d.Token()
		name, ok := key.(string)
		var member json.RawMessage
		if err != nil || !ok || d.Decode(&member) != nil {
			return // not reached for valid JSON
		}
		memberPath := joinPath(path, name)
		field, known := fields[name]
		switch {
		case seen[name]:
			c.add(memberPath, "remove one of the two", "the field appears twice")
		case !known:
			c.add(memberPath, "remove it, or correct its name to one of "+fieldNames(t), "unknown field")
		default:
			c.value(memberPath, member, field)
		}
		seen[name] = true
	}
}

func (c *collector) list(path string, raw json.RawMessage, t reflect.Type) {
	if jsonType(raw) == "null" {
		return
	}
	var members []json.RawMessage
	if json.Unmarshal(raw, &members) != nil {
		c.add(path, "write a list", "expected a list, found %s", jsonType(raw))
		return
	}
	for i, member := range members {
		c.value(fmt.Sprintf("%s[%d]", path, i), member, t.Elem())
	}
}

func (c *collector) scalar(path string, raw json.RawMessage, t reflect.Type) {
	want := map[reflect.Kind]string{reflect.String: "a text", reflect.Bool: "true or false"}[t.Kind()]
	if want == "" {
		want = "a whole number within 64 bits"
	}
	if jsonType(raw) == "null" || json.Unmarshal(raw, reflect.New(t).Interface()) != nil {
		c.add(path, "write "+want, "expected %s, found %s", want, jsonType(raw))
	}
}

// jsonType describes the type of a JSON value for messages.
func jsonType(raw json.RawMessage) string {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return "nothing"
	}
	switch raw[0] {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a text"
	case 't', 'f':
		return "a truth value"
	case 'n':
		return "null"
	}
	return "the number " + string(raw[:min(len(raw), 40)])
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		fields[fieldName(t.Field(i))] = t.Field(i).Type
	}
	return fields
}

func fieldNames(t reflect.Type) string {
	list := make([]string, t.NumField())
	for i := range list {
		list[i] = fieldName(t.Field(i))
	}
	return strings.Join(list, ", ")
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func joinPath(path, name string) string {
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes] + "…"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
