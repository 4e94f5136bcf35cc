package jsonbody_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"tanagerwood.dev/api/jsonbody"
)

// FuzzReadList guards against elements that differ from those that encoding/json finds, and against bodies that crash the process.
func FuzzReadList(f *testing.F) {
	f.Add([]byte(`{"items":[{"a":"]\""},[1,{}],2, "x" ],"n":1}`))
	f.Add([]byte(`{"a":{"items":[1]},"items":[]}`))
	f.Add([]byte(`{"items":[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var got [][]byte
		limits := jsonbody.ListLimits{ElementBytes: 1 << 20, BodyBytes: 1 << 20}
		_, err := jsonbody.ReadList(bytes.NewReader(body), "items", limits, func(e jsonbody.Element) error {
			got = append(got, bytes.Clone(e.Raw))
			return nil
		})
		var top struct{ Items []json.RawMessage }
		// Other spellings of the key, and repetitions, are not those of the platform.
		ambiguous := bytes.Contains(body, []byte(`\u`)) || bytes.Count(bytes.ToLower(body), []byte("items")) > 1
		if ambiguous || json.Unmarshal(body, &top) != nil || !bytes.Contains(body, []byte(`"items"`)) || body[0] != '{' {
			return
		}
		if err != nil || len(got) != len(top.Items) {
			t.Fatalf("%d elements of %d: %v", len(got), len(top.Items), err)
		}
		for i := range got {
			if !bytes.Equal(got[i], top.Items[i]) {
				t.Errorf("element %d is %q, want %q", i, got[i], top.Items[i])
			}
		}
	})
}
