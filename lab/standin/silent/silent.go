// Package silent simulates connections that hang: they accept requests and never send a response, while new connections
// work.
package silent

import (
	"io"
	"net/http"
	"sync"
)

// maxConnections is the maximum size of the table of used connections.
const maxConnections = 10_000

// Connections tracks which connections were used and which are silent, by the client's address. The zero value is ready to
// use.
type Connections struct {
	mu     sync.Mutex
	used   map[string]bool
	silent map[string]bool
}

// MarkUsed records that the connection was used.
func (c *Connections) MarkUsed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used == nil || len(c.used) >= maxConnections {
		c.used = make(map[string]bool)
	}
	c.used[address] = true
}

// SetSilent makes the connections that were used so far silent, or, if on is false, lets all connections respond again.
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

// IsSilent reports whether the connection is silent.
func (c *Connections) IsSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[address]
}

// HangUntilClosed blocks a request on a silent connection until the client closes the connection or the server shuts down,
// and then aborts it.
func HangUntilClosed(r *http.Request, closing <-chan struct{}) {
	// net/http detects that the client closed the connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-closing:
	}
	panic(http.ErrAbortHandler)
}
