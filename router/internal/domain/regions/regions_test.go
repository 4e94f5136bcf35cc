package regions_test

import (
	"testing"

	"tanagerwood.dev/router/internal/domain/regions"
)

// Guards against requests that leave their regions, also for a domain whose region is not known, and requests without regions that are
// restricted.
func TestRequestsStayInTheirRegions(t *testing.T) {
	table := regions.Table{"a": "north", "b": "south"}
	for _, c := range []struct {
		route, customer []string
		want            string
	}{
		{nil, nil, "abc"},
		{[]string{}, nil, "abc"},
		{[]string{"north"}, nil, "a"},
		{nil, []string{"south"}, "b"},
		{[]string{"north", "south"}, []string{"south"}, "b"},
		{[]string{"north"}, []string{"south"}, ""},
		{[]string{"elsewhere", ""}, nil, ""},
	} {
		got := ""
		f := table.Filter(c.route, c.customer)
		for _, domain := range []string{"a", "b", "c"} {
			if f.Allows(domain) {
				got += domain
			}
		}
		if got != c.want {
			t.Errorf("route %q, customer %q: domains %q, want %q", c.route, c.customer, got, c.want)
		}
	}
}
