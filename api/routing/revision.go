package routing

import "time"

// numberBits is the number of bits of a revision that hold the store's own number.
const numberBits = 44

// Revision returns the position in the platform's store of a number that the store gave in an era. The store begins a new era when it
// comes back from a copy, and may then give numbers again that it gave before. Positions of a later era are greater.
func Revision(era, number uint64) uint64 { return era<<numberBits | number&(1<<numberBits-1) }

// Era is the era of a revision, Number the store's number in it.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number is the store's number of a revision.
func Number(revision uint64) uint64 { return revision & (1<<numberBits - 1) }

// Notice is what an endpoint says of itself in its answers.
type Notice struct {
	// Leaving says that the endpoint will end soon and wants no new requests.
	Leaving bool
	// Pause is for how long the endpoint wants no requests from this instance; zero if it does not say.
	Pause time.Duration
}
