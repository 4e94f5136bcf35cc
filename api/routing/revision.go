package routing

import "time"

// numberBits is the number of bits of a revision that hold the store's own number.
const numberBits = 44

// Revision combines an era of the platform's store and a number that the store assigned in it. The store begins a new era
// when it is restored from a copy, and may then assign numbers again that it assigned before. Revisions of a later era are
// greater.
func Revision(era, number uint64) uint64 { return era<<numberBits | number&(1<<numberBits-1) }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the number that the store assigned to a revision in its era.
func Number(revision uint64) uint64 { return revision & (1<<numberBits - 1) }

// Notice is what an endpoint reports about its own availability in its responses.
type Notice struct {
	// Leaving is set if the endpoint will shut down soon and accepts no new requests.
	Leaving bool
	// Pause is the time during which the endpoint asks for no requests from this instance; zero if it does not ask for a pause.
	Pause time.Duration
	// Limit is what the response says about the rate of requests that the endpoint accepts.
	Limit LimitNotice
	// Cold is for how long the endpoint is still cold; set if StatesCold is.
	Cold       time.Duration
	StatesCold bool
	// SentMS is when the request was sent that the response answers, as a Unix time in milliseconds; zero if unknown.
	SentMS int64
}

// LimitNotice is what a response says about an endpoint's request limit. The limit applies to all instances together and holds
// until a response that would name it names none. The zero value says nothing about it.
type LimitNotice struct {
	State LimitState
	// PerSecond is the number of requests per second that the endpoint accepts; set if State is LimitNamed.
	PerSecond float64
}

// LimitState is the state of an endpoint's request limit according to one response.
type LimitState int

const (
	// LimitUnknown means that the response is of a kind that need not name the limit.
	LimitUnknown LimitState = iota
	// LimitNone means that the endpoint has no limit.
	LimitNone
	// LimitNamed means that the endpoint has a limit.
	LimitNamed
	// LimitInvalid means that the response names a limit that cannot be decoded. It changes nothing.
	LimitInvalid
)
