package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections and can impair them.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	state Impairment
	// changed is closed and replaced when state changes.
	changed chan struct{}
	open    map[net.Conn]bool
}

// Impairment is how a network path is impaired. Data that is held back arrives when the impairment ends.
type Impairment struct {
	// Delay is added to all data.
	Delay time.Duration
	// HoldToTarget holds back data sent to the target, HoldFromTarget data received from it.
	HoldToTarget, HoldFromTarget bool
	// Reject resets new connections.
	Reject bool
}

// NewProxy listens on a free loopback address for connections to the target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the impairment.
func (p *Proxy) Set(d Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = d
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
	}
	clear(p.open)
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Set(Impairment{})
	p.Reset()
	return err
}

// reset closes a connection so that the peer gets a reset instead of an end of stream.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(c)
		}
	}
}

func (p *Proxy) serve(client net.Conn) {
	if p.rejects() {
		reset(client)
		return
	}
	p.track(client)
	defer p.untrack(client)
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(upstream)
	defer p.untrack(upstream)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.relay(upstream, client, func(d Impairment) bool { return d.HoldToTarget })
	}()
	p.relay(client, upstream, func(d Impairment) bool { return d.HoldFromTarget })
	<-done
}

func (p *Proxy) rejects() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Reject
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close() // closing twice does no harm
}

// relay copies from one connection to the other until one of them ends. An end of stream is forwarded as such, an error as a
// reset.
func (p *Proxy) relay(to, from net.Conn, held func(Impairment) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.waitWhileHeld(held)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the peer may have left
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// waitWhileHeld returns when data may be forwarded.
func (p *Proxy) waitWhileHeld(held func(Impairment) bool) {
	for {
		p.mu.Lock()
		state, changed := p.state, p.changed
		p.mu.Unlock()
		if !held(state) {
			time.Sleep(state.Delay)
			return
		}
		<-changed
	}
}
