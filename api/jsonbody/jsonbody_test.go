package jsonbody_test

import (
	"testing"

	"tanagerwood.dev/api/jsonbody"
)

// Guards against bodies that are cut off and taken for whole ones, and against whole ones that are refused.
func TestIsWholeObject(t *testing.T) {
	for body, want := range map[string]bool{
		`{}`:                true,
		" {\"a\":[1,{}]}\n": true,
		`{"a":"}"}`:         true,
		`{"a":"\"}"}`:       true,
		`{"a":"\\"}`:        true,
		"":                  false,
		`{`:                 false,
		`{"a":1`:            false,
		`{"a":"}`:           false,
		`{"a":{}`:           false,
		`[{}]`:              false,
		`{}{}`:              false,
		`{} x`:              false,
		`}`:                 false,
		`"a"`:               false,
		`{"a":"\`:           false,
	} {
		if got := jsonbody.IsWholeObject([]byte(body)); got != want {
			t.Errorf("%q: %t", body, got)
		}
	}
}
