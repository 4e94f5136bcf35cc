package peerudp

import (
	"net/url"
	"testing"
)

// Guards against requests of instances that name nothing, or something unreadable, being answered with changes.
func TestDecodesKnownState(t *testing.T) {
	for query, want := range map[string]bool{"": false, "version=1&revision=2": false, "version=1&revision=2&endpoints=x": false, "version=1&revision=2&endpoints=3": true} {
		values, err := url.ParseQuery(query)
		if _, named := decodeKnown(values); err != nil || named != want {
			t.Errorf("%q: named %t, want %t", query, named, want)
		}
	}
}
