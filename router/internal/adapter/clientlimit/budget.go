package clientlimit

import "sync/atomic"

const (
	// allowanceBytes is the cost up to which a head does not count, so that ordinary heads are served whatever others hold. The cost of a
	// connection (ConnectionBytes) includes it.
	allowanceBytes = 16 << 10
	// ConnectionBytes is the memory of a connection with an ordinary request: stacks, buffers of the server and the allowance of its head.
	ConnectionBytes = 40 << 10
	// lineBytes is what the server allocates at most for a header line beside its bytes: entries in the header's map while that grows, the
	// slice of values, and the smallest strings.
	lineBytes = 300
	// byteFactor is how often the bytes of a head are held: in a buffer, in the server's buffers for long lines, which it doubles until a
	// line fits, and as strings of the header and the URL.
	byteFactor = 6
)

// headCost returns the memory that parsing a head takes.
func headCost(bytes, lines int) int64 { return int64(byteFactor*bytes + lineBytes*lines) }

// Budget is the memory for the heads of all connections beyond allowanceBytes for each. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that heads take.
func (b *Budget) Used() int64 { return b.used.Load() }

// take takes bytes out of the budget. Whatever its cost, a head is admitted while there is no other.
func (b *Budget) take(bytes int64) bool {
	used := b.used.Add(bytes)
	if bytes > 0 && used > b.limit && used != bytes {
		b.used.Add(-bytes)
		return false
	}
	return true
}
