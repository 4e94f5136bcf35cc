package peerudp

import "testing"

// BenchmarkSign signs and verifies a membership view of 3 KB.
func BenchmarkSign(b *testing.B) {
	var s signer
	s.setSecrets([]string{"secret"})
	view := make([]byte, 3<<10)
	for b.Loop() {
		if _, err := s.verifyDatagram(s.signDatagram(view)); err != nil {
			b.Fatal(err)
		}
	}
}
