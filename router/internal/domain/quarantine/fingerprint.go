package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// fingerprintPrefix distinguishes fingerprints from the ids of parts of prompts, which contain no colon.
	fingerprintPrefix = ":"
	// fingerprintBytes is the length of the hash in a fingerprint.
	fingerprintBytes = 12
)

// Fingerprint returns the trait by which a request is recognized when it is sent again. Two requests have the same one if they agree in
// all fields and in the body.
func Fingerprint(body []byte, fields ...string) string {
	h := sha256.New()
	for _, field := range fields {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // a hash takes all
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return fingerprintPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

func isFingerprint(trait string) bool { return strings.HasPrefix(trait, fingerprintPrefix) }

// fingerprint returns the fingerprint of the record's request, or "" if an answer to the same request has cleared it.
func (r record) fingerprint() string {
	for _, trait := range r.traits {
		if isFingerprint(trait) {
			return trait
		}
	}
	return ""
}
