package peerhttp

import (
	"encoding/json"
	"errors"
	"fmt"

	"tanagerwood.dev/api/peer"
)

// Validation errors of messages that are well-formed JSON.
var (
	errNoSender          = errors.New("message names no sender: field from.name is empty")
	errNoCustomer        = errors.New("message names no customer")
	errTokensNotPositive = errors.New("tokens must be positive")
	errNoEndpoint        = errors.New("message names no endpoint or no attempt")
	errNegativeAmount    = errors.New("amounts must not be negative")
	errNoMember          = errors.New("message names no member to remove")
	errNoClaim           = errors.New("message names no claim")
	errUnnamedMember     = errors.New("heartbeat entry or roster member has no name")
)

// decodeMessage decodes and validates a message. It ignores unknown fields, so that newer versions of the router can add
// fields.
func decodeMessage[M any](body []byte) (M, error) {
	var m M
	if err := json.Unmarshal(body, &m); err != nil {
		return m, fmt.Errorf("message is malformed: %w", err)
	}
	return m, validate(m)
}

func validate(m any) error {
	switch m := m.(type) {
	case peer.Heartbeat:
		return checkHeartbeat(m)
	case peer.ConfirmRequest:
		return checkSender(m.From)
	case peer.RemovalRequest:
		if m.Remove.Name == "" {
			return errNoMember
		}
		return checkSender(m.From)
	case peer.LoanRequest:
		if m.Tokens <= 0 {
			return errTokensNotPositive
		}
		return checkCustomer(m.From, m.Customer)
	case peer.LoanDone:
		return checkCustomer(m.From, m.Customer)
	case peer.ReserveRequest:
		return checkReserve(m)
	case peer.ReleaseRequest:
		return checkEndpoint(m.Endpoint, m.Attempt)
	case peer.ClaimsRequest:
		if m.Claim == "" {
			return errNoClaim
		}
	}
	return nil
}

func checkHeartbeat(m peer.Heartbeat) error {
	for _, e := range m.Entries {
		if e.Name == "" {
			return errUnnamedMember
		}
	}
	for _, member := range m.Roster.Members {
		if member.Name == "" {
			return errUnnamedMember
		}
	}
	return checkSender(m.From)
}

func checkReserve(m peer.ReserveRequest) error {
	if m.StartInMS < 0 || m.MaxDelayMS < 0 || m.PromptTokens < 0 || m.CachedTokens < 0 || m.OutputTokens < 0 || m.KVBytes < 0 {
		return errNegativeAmount
	}
	if err := checkEndpoint(m.Endpoint, m.Attempt); err != nil {
		return err
	}
	return checkSender(m.From)
}

func checkSender(from peer.MemberID) error {
	if from.Name == "" {
		return errNoSender
	}
	return nil
}

func checkCustomer(from peer.MemberID, customer string) error {
	if customer == "" {
		return errNoCustomer
	}
	return checkSender(from)
}

func checkEndpoint(endpoint, attempt string) error {
	if endpoint == "" || attempt == "" {
		return errNoEndpoint
	}
	return nil
}
