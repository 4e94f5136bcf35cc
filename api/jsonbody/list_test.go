package jsonbody_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"tanagerwood.dev/api/jsonbody"
)

// Guards against elements that are lost, joined or taken from elsewhere in the body, however the body arrives.
func TestReadList(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for body, want := range map[string]struct {
		elements []string
		envelope string
	}{
		`{"items":[{"a":1},{"b":[2,3]}],"n":7}`:           {[]string{`{"a":1}`, `{"b":[2,3]}`}, `{"items":[],"n":7}`},
		" {\"n\":7, \"items\" : [ 1 ,\n\"x,]\\\"\" ] }\n": {[]string{`1`, `"x,]\""`}, "{\"n\":7, \"items\" : [] }"},
		`{"items":[]}`:   {nil, `{"items":[]}`},
		`{"items":null}`: {nil, `{"items":null}`},
		`{"x":{"items":[1]},"y":"\"items\":","z":[2]}`:       {nil, `{"x":{"items":[1]},"y":"\"items\":","z":[2]}`},
		`{"items":[{"spec":{"a":,,}},` + deep + `],"n":[3]}`: {[]string{`{"spec":{"a":,,}}`, deep}, `{"items":[],"n":[3]}`},
	} {
		var got []string
		limits := jsonbody.ListLimits{ElementBytes: 1 << 20, BodyBytes: 1 << 20}
		envelope, err := jsonbody.ReadList(iotest.OneByteReader(strings.NewReader(body)), "items", limits, func(e jsonbody.Element) error {
			got = append(got, string(e.Raw))
			return nil
		})
		if err != nil || string(envelope) != want.envelope || !slices.Equal(got, want.elements) {
			t.Errorf("%.60q: envelope %.60q, %d elements: %v", body, envelope, len(got), err)
		}
	}
}

// Guards against bodies that are cut off and taken for whole ones.
func TestReadListRejectsPartsOfABody(t *testing.T) {
	const body = `{"items":[{"a":"}"},[1]],"n":7}`
	limits := jsonbody.ListLimits{ElementBytes: 100, BodyBytes: 100}
	read := func(body string) error {
		_, err := jsonbody.ReadList(strings.NewReader(body), "items", limits, func(jsonbody.Element) error { return nil })
		return err
	}
	for end := range len(body) {
		if err := read(body[:end]); !errors.Is(err, jsonbody.ErrNotWhole) {
			t.Errorf("%q: %v", body[:end], err)
		}
	}
	for _, body := range []string{body + body, body + "x", "x" + body, `[{}]`, `}`, `{]`, `"a"`, `{"items":[1]]`, `7{}`} {
		if err := read(body); !errors.Is(err, jsonbody.ErrNotWhole) {
			t.Errorf("%q: %v", body, err)
		}
	}
	if err := read(`{"items":["` + strings.Repeat("x", 100) + `"]}`); !errors.Is(err, jsonbody.ErrTooLong) {
		t.Error(err)
	}
}

// Guards against an element that takes more memory than it may, and against the loss of those after it.
func TestReadListTruncatesLongElements(t *testing.T) {
	limits := jsonbody.ListLimits{ElementBytes: 10, BodyBytes: 1000}
	var got []string
	_, err := jsonbody.ReadList(strings.NewReader(`{"items":["`+strings.Repeat("x", 500)+`",{"a":1}]}`), "items", limits, func(e jsonbody.Element) error {
		if e.Truncated {
			got = append(got, "truncated")
		}
		got = append(got, string(e.Raw))
		return nil
	})
	if want := []string{"truncated", `"xxxxxxxxx`, `{"a":1}`}; err != nil || !slices.Equal(got, want) {
		t.Error(got, err)
	}
}
