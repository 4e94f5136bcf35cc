package load

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// refusedRouterBackoff is how long a router is skipped after it refused a connection.
const refusedRouterBackoff = 500 * time.Millisecond

// ErrNoRouter is returned when all routers refuse connections.
var ErrNoRouter = errors.New("all routers refuse connections")

// CheckLoopback returns an error unless the URL is http and its host is a literal loopback address. The load
// generator can overload a production system, so it rejects other targets.
func CheckLoopback(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return fmt.Errorf("target %q: %w", raw, err)
	}
	address, err := netip.ParseAddr(u.Hostname())
	if u.Scheme != "http" || err != nil || !address.IsLoopback() {
		return fmt.Errorf("target %q is not an http URL of a loopback address such as http://127.0.0.1:8080", raw)
	}
	return nil
}

// ParseTargetURLs parses a comma-separated list of base URLs and checks each with CheckLoopback.
func ParseTargetURLs(list string) ([]string, error) {
	var targets []string
	for _, part := range strings.Split(list, ",") {
		part = strings.TrimRight(strings.TrimSpace(part), "/")
		if part == "" {
			continue
		}
		if err := CheckLoopback(part); err != nil {
			return nil, err
		}
		targets = append(targets, part)
	}
	return targets, nil
}

// Balancer selects routers round-robin and skips those that refused a connection within refusedRouterBackoff.
type Balancer struct {
	routers []string
	next    atomic.Uint64
	now     func() time.Time

	mu   sync.Mutex
	down map[string]time.Time
}

// NewBalancer returns a balancer over base URLs.
func NewBalancer(routers []string, now func() time.Time) *Balancer {
	return &Balancer{routers: routers, now: now, down: make(map[string]time.Time)}
}

// Next returns the next router that has not recently refused a connection, or the next in turn if all have.
func (b *Balancer) Next() string {
	start := b.next.Add(1) - 1
	count := uint64(len(b.routers))
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range count {
		router := b.routers[(start+i)%count]
		if b.now().Sub(b.down[router]) >= refusedRouterBackoff {
			return router
		}
	}
	return b.routers[start%count]
}

// MarkDown makes Next skip the router for refusedRouterBackoff.
func (b *Balancer) MarkDown(router string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[router] = b.now()
}

// Do sends a request to routers in turn until one accepts the connection. build creates the request for a base URL.
func (b *Balancer) Do(client *http.Client, build func(base string) (*http.Request, error)) (*http.Response, string, error) {
	for range b.routers {
		router := b.Next()
		request, err := build(router)
		if err != nil {
			return nil, router, err
		}
		response, err := client.Do(request)
		if !refused(err) {
			return response, router, err
		}
		b.MarkDown(router)
	}
	return nil, "", ErrNoRouter
}

// refused reports whether the connection was refused, so that nothing was sent.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// NewClient returns a client that keeps idle connections for the given number of concurrent streams.
func NewClient(parallel int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:        parallel,
			MaxIdleConnsPerHost: parallel,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
