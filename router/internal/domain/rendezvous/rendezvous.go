// Package rendezvous implements rendezvous (highest random weight) hashing: all instances rank the members for a key in the same
// order without coordination, and the loss of a member moves only the keys that ranked it highest.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a member for a key; the member with the highest weight wins.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // writes to a Digest never fail
	_, _ = d.Write([]byte{0}) // separates "a","bc" from "ab","c"
	_, _ = d.WriteString(member)
	return d.Sum64()
}
