// Package regions decides to which failure domains a request may go. Routes and customers may name the regions in which their requests
// must stay, and the settings say in which region each domain is.
package regions

import "slices"

// Table holds the region of each failure domain.
type Table map[string]string

// Filter reports whether a request may go to the endpoints of a domain. A nil Filter allows all domains.
type Filter func(domain string) bool

// Filter returns the filter of a request with lists of allowed regions. A list that is empty allows all regions; otherwise, the region of a
// domain must be in each of them. A domain whose region is not known is in no region.
func (t Table) Filter(lists ...[]string) Filter {
	lists = slices.DeleteFunc(lists, func(list []string) bool { return len(list) == 0 })
	if len(lists) == 0 {
		return nil
	}
	return func(domain string) bool {
		region, known := t[domain]
		return known && !slices.ContainsFunc(lists, func(list []string) bool { return !slices.Contains(list, region) })
	}
}

// Allows reports whether the filter allows a domain.
func (f Filter) Allows(domain string) bool { return f == nil || f(domain) }
