package peerudp

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync/atomic"
)

// headerSignature carries the signature of a question for the state, and of the answer's body.
const headerSignature = "X-Peer-Signature"

// errSignature says that a message was not signed with a secret of this fleet.
var errSignature = errors.New("peerudp: the signature is missing or wrong; give all instances the same -peer-secrets")

// signer signs messages with a shared secret, as HMAC-SHA256. Several secrets are accepted while they change.
type signer struct {
	secrets atomic.Pointer[[]string]
}

// set replaces the secrets. The first one signs, each is accepted; without any, messages are neither signed nor checked.
func (s *signer) set(secrets []string) { s.secrets.Store(&secrets) }

func (s *signer) list() []string {
	if p := s.secrets.Load(); p != nil {
		return *p
	}
	return nil
}

// sign returns the signature, which is empty without a secret.
func (s *signer) sign(content []byte) []byte {
	secrets := s.list()
	if len(secrets) == 0 {
		return nil
	}
	return sum(secrets[0], content)
}

func sum(secret string, content []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(content) // a hash's writes do not fail
	return mac.Sum(nil)
}

// check reports whether the signature is one of a secret that is accepted.
func (s *signer) check(signature, content []byte) bool {
	secrets := s.list()
	for _, secret := range secrets {
		if hmac.Equal(signature, sum(secret, content)) {
			return true
		}
	}
	return len(secrets) == 0
}

// seal puts the signature before a message.
func (s *signer) seal(content []byte) []byte { return append(s.sign(content), content...) }

// open returns the message behind its signature.
func (s *signer) open(datagram []byte) ([]byte, error) {
	if len(s.list()) == 0 {
		return datagram, nil
	}
	if len(datagram) < sha256.Size || !s.check(datagram[:sha256.Size], datagram[sha256.Size:]) {
		return nil, errSignature
	}
	return datagram[sha256.Size:], nil
}

// signText and checkText are sign and check for headers.
func (s *signer) signText(content []byte) string { return hex.EncodeToString(s.sign(content)) }

func (s *signer) checkText(signature string, content []byte) bool {
	raw, err := hex.DecodeString(signature)
	return err == nil && s.check(raw, content)
}
