package h1

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidResponse means that the peer sent a response that HTTP does not allow, although net/http accepts it. The request may have been
// executed.
var ErrInvalidResponse = errors.New("h1: the answer is not valid")

// Status codes have three digits, the first of which is from 1 to 5 (RFC 9110, section 15).
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// checkInterim returns an error if the head of an interim response is invalid.
func checkInterim(status int, _ http.Header) error {
	if status < minStatus || status >= minFinalStatus {
		return fmt.Errorf("%w: status %03d in an interim response", ErrInvalidResponse, status)
	}
	if status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: the peer switches protocols without being asked", ErrInvalidResponse)
	}
	return nil
}

// checkFinal returns an error if the head of a final response is invalid.
func checkFinal(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalidResponse, resp.StatusCode)
	}
	return nil
}

// isInterim reports whether a status is less than that of any final response.
func isInterim(status int) bool { return status < minFinalStatus }
