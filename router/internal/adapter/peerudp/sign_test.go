package peerudp

import "testing"

// BenchmarkSign measures a view of 3 KB, signed and checked.
func BenchmarkSign(b *testing.B) {
	var s signer
	s.set([]string{"secret"})
	view := make([]byte, 3<<10)
	for b.Loop() {
		if _, err := s.open(s.seal(view)); err != nil {
			b.Fatal(err)
		}
	}
}
