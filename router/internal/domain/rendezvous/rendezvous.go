// Package rendezvous gives every key the same order of members at all instances without coordination: losing a member
// moves only the keys that ranked it highest.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight is the rank of a member for a key; the highest wins.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a Digest's writes do not fail
	_, _ = d.Write([]byte{0}) // separates "a","bc" from "ab","c"
	_, _ = d.WriteString(member)
	return d.Sum64()
}
