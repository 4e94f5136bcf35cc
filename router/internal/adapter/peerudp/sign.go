package peerudp

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync/atomic"
)

// signatureHeader holds the signature of a state request, or of the response body.
const signatureHeader = "X-Peer-Signature"

// errSignature reports that a message is not signed with one of the shared secrets.
var errSignature = errors.New("peerudp: the signature is missing or wrong; give all instances the same -peer-secrets")

// signer signs and verifies messages with HMAC-SHA256. It accepts several secrets, so that they can be rotated.
type signer struct {
	secrets atomic.Pointer[[]string]
}

// setSecrets replaces the secrets. The first one signs and each of them verifies; without secrets, messages are neither signed nor
// verified.
func (s *signer) setSecrets(secrets []string) { s.secrets.Store(&secrets) }

func (s *signer) loadSecrets() []string {
	if p := s.secrets.Load(); p != nil {
		return *p
	}
	return nil
}

// sign returns the signature of content, or nil without a secret.
func (s *signer) sign(content []byte) []byte {
	secrets := s.loadSecrets()
	if len(secrets) == 0 {
		return nil
	}
	return hmacSHA256(secrets[0], content)
}

func hmacSHA256(secret string, content []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(content) // hash.Hash.Write never returns an error
	return mac.Sum(nil)
}

// verify reports whether one of the secrets produced the signature. Without secrets, it accepts every signature.
func (s *signer) verify(signature, content []byte) bool {
	secrets := s.loadSecrets()
	for _, secret := range secrets {
		if hmac.Equal(signature, hmacSHA256(secret, content)) {
			return true
		}
	}
	return len(secrets) == 0
}

// signDatagram returns the content with its signature as a prefix.
func (s *signer) signDatagram(content []byte) []byte { return append(s.sign(content), content...) }

// verifyDatagram verifies the signature prefix of a datagram and returns the content after it.
func (s *signer) verifyDatagram(datagram []byte) ([]byte, error) {
	if len(s.loadSecrets()) == 0 {
		return datagram, nil
	}
	if len(datagram) < sha256.Size || !s.verify(datagram[:sha256.Size], datagram[sha256.Size:]) {
		return nil, errSignature
	}
	return datagram[sha256.Size:], nil
}

// signHex and verifyHex are sign and verify with hexadecimal signatures, for headers.
func (s *signer) signHex(content []byte) string { return hex.EncodeToString(s.sign(content)) }

func (s *signer) verifyHex(signature string, content []byte) bool {
	raw, err := hex.DecodeString(signature)
	return err == nil && s.verify(raw, content)
}
