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

// downFor is how long a router that refused a connection is skipped.
const downFor = 500 * time.Millisecond

// ErrNoRouter says that all routers refuse connections.
var ErrNoRouter = errors.New("all routers refuse connections")

// CheckLoopback returns an error unless the URL is http and its host is a literal loopback address. The tool generates
// enough traffic to hurt a real system, so it refuses other targets.
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

// ParseTargetURLs reads a list of base URLs separated by commas and checks each.
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

// Balancer chooses routers in turn and skips those that refused a connection a moment ago.
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

// Next returns the next router that is not known to refuse connections; if all are, the next in turn.
func (b *Balancer) Next() string {
	start := b.next.Add(1) - 1
	count := uint64(len(b.routers))
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range count {
		router := b.routers[(start+i)%count]
		if b.now().Sub(b.down[router]) >= downFor {
			return router
		}
	}
	return b.routers[start%count]
}

// MarkDown skips a router for a moment.
func (b *Balancer) MarkDown(router string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[router] = b.now()
}

// Do sends a request to routers in turn until one takes the connection. build makes the request for a base URL.
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

// NewClient returns a client with a connection pool for many parallel streams.
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
