// Package silent lets the open connections of a stand-in go silent: they accept requests and never answer, while new
// connections work.
package silent

import (
	"io"
	"net/http"
	"sync"
)

// maxConnections bounds the table of connections that were used.
const maxConnections = 10_000

// Connections knows which connections were used and which are silent, by the client's address. The zero value is ready.
type Connections struct {
	mu     sync.Mutex
	used   map[string]bool
	silent map[string]bool
}

// MarkUsed notes that the connection was used.
func (c *Connections) MarkUsed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used == nil || len(c.used) >= maxConnections {
		c.used = make(map[string]bool)
	}
	c.used[address] = true
}

// SetSilent makes the connections that were used so far silent, or lets all connections answer again.
func (c *Connections) SetSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !on {
		c.silent = nil
		return
	}
	if c.silent == nil {
		c.silent = make(map[string]bool, len(c.used))
	}
	for address := range c.used {
		c.silent[address] = true
	}
}

// IsSilent reports whether the connection has gone silent.
func (c *Connections) IsSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[address]
}

// HangUntilClosed keeps a request on a silent connection until its client or the server closes, and then aborts it.
func HangUntilClosed(r *http.Request, closing <-chan struct{}) {
	// net/http notices that the client closed only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-closing:
	}
	panic(http.ErrAbortHandler)
}
