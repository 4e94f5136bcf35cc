package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
)

// stringTable is the value of a flag that holds a table. Its text form is a JSON object, whose values other than strings are ignored.
type stringTable map[string]string

// String implements flag.Value.
func (t *stringTable) String() string {
	if t == nil || *t == nil {
		return ""
	}
	raw, err := json.Marshal(map[string]string(*t))
	if err != nil {
		panic(err) // a table of strings can be encoded
	}
	return string(raw)
}

// Set implements flag.Value.
func (t *stringTable) Set(text string) error {
	*t = nil
	if text == "" {
		return nil
	}
	var values map[string]any
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	*t = stringTable{}
	for key, value := range values {
		if s, ok := value.(string); ok {
			(*t)[key] = s
		}
	}
	return nil
}

// parseSettingsFile parses a settings file: a JSON object with values for flags. Unlike ff.JSONParser, it accepts objects, and sets the
// flag to their text.
func parseSettingsFile(r io.Reader, set func(name, value string) error) error {
	raw, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var values map[string]json.RawMessage
	if json.Unmarshal(raw, &values) != nil {
		return ff.JSONParser(bytes.NewReader(raw), set) // which reports the error
	}
	for name, value := range values {
		if !bytes.HasPrefix(value, []byte("{")) {
			continue
		}
		if err := set(name, string(value)); err != nil {
			return err
		}
		delete(values, name)
	}
	rest, err := json.Marshal(values)
	if err != nil {
		return err
	}
	return ff.JSONParser(bytes.NewReader(rest), set)
}
