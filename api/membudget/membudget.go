// Package membudget bounds the memory that answers take while they are read, over all calls of a process. Each answer may take an
// allowance, with which ordinary answers get by. What an answer needs beyond comes out of a budget that all share, so that many long
// answers at once fail, or are passed on in parts, and short ones do not.
package membudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrExhausted means that other answers have used up the shared budget.
var ErrExhausted = errors.New("membudget: answers take all of the memory that is set aside for them")

// Budget is shared by the answers of a process, or of one kind of them. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	// allowance is the size in bytes up to which an answer does not count, limit that of all others together.
	allowance, limit int64
	used             atomic.Int64
}

// New returns a budget of limit bytes, beside an allowance for each answer.
func New(allowance, limit int64) *Budget { return &Budget{allowance: allowance, limit: limit} }

// Used returns the number of bytes that are taken out of the shared budget.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Holding is the memory that one answer takes. Its methods must not be called at the same time. The zero value has no limit.
type Holding struct {
	budget *Budget
	taken  int64
}

// Open returns the holding of an answer, which takes no memory yet.
func (b *Budget) Open() Holding { return Holding{budget: b} }

// Resize sets the number of bytes that the answer takes. It returns ErrExhausted, and leaves the size as it was, if the budget does not
// allow it.
func (h *Holding) Resize(bytes int64) error {
	if h.budget == nil {
		return nil
	}
	more := max(0, bytes-h.budget.allowance) - h.taken
	if used := h.budget.used.Add(more); more > 0 && used > h.budget.limit {
		h.budget.used.Add(-more)
		return ErrExhausted
	}
	h.taken += more
	return nil
}

// Close gives the memory back. The holding may be used again.
func (h *Holding) Close() {
	if h.budget != nil {
		h.budget.used.Add(-h.taken)
		h.taken = 0
	}
}

// initialBytes is the size of the first buffer of ReadAll.
const initialBytes = 1 << 10

// ReadAll reads until the end or until limit bytes are read, whichever is first, and accounts for its buffer in h. If the budget is
// exhausted, it returns what it has read with ErrExhausted. The caller closes h when it needs the bytes no longer.
func ReadAll(r io.Reader, limit int64, h *Holding) ([]byte, error) {
	r = io.LimitReader(r, limit)
	b := make([]byte, 0, min(initialBytes, limit+1))
	for {
		if len(b) == cap(b) {
			larger := min(2*int64(cap(b)), limit+1)
			if err := h.Resize(int64(cap(b)) + larger); err != nil {
				return b, err
			}
			b = append(make([]byte, 0, larger), b...)
			_ = h.Resize(larger) // fails only if it grows
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}
