package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// untrustedClients is the number of clients that keep to no limit, beside the ordinary callers.
	untrustedClients = 4
	// untrustedTimeout limits a connection of such a client, untrustedPause is the time between two of them.
	untrustedTimeout = 2 * time.Second
	untrustedPause   = 50 * time.Millisecond
	// untrustedBytes is the size of what such a client sends.
	untrustedBytes = 60 << 10
)

// untrustedRequests are what untrusted clients send: nothing, an unfinished head, and heads and bodies that cost much or are malformed.
// None of them is a request that an endpoint may get.
func untrustedRequests() []string {
	start := "GET /untrusted/ HTTP/1.1\r\nHost: untrusted.example\r\n"
	fill := func(line string) string { return strings.Repeat(line, untrustedBytes/len(line)) }
	chunked := strings.Replace(start, "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\n"
	return []string{
		"", start, start + fill("a:\n"), start + fill("a:\n") + "\r\n", start + fill("a") + "\r\n\r\n", start + fill("a b: c\r\n") + "\r\n",
		start + fill("a: b\r\n c\r\n") + "\r\n", "GET /" + fill("a") + " HTTP/1.1\r\nHost: untrusted.example\r\n\r\n", fill("\r\n"),
		chunked + fill("1;"+strings.Repeat("e", 2000)+"\r\nx\r\n"), chunked + "0\r\n" + fill("a:\n"), fill(start + "\r\n"),
	}
}

// runUntrusted runs a client that sends such requests to the instances until ctx ends.
func (l *load) runUntrusted(ctx context.Context, random *rand.Rand) {
	requests := untrustedRequests()
	for ctx.Err() == nil {
		sendUntrusted(ctx, l.balancer.pick(random).callers, requests[random.IntN(len(requests))])
		sleep(ctx, untrustedPause)
	}
}

// sendUntrusted opens a connection, sends the text and reads until the instance closes the connection or the time is over. What becomes
// of the connection does not matter: the instances must keep their guarantees to ordinary callers.
func sendUntrusted(ctx context.Context, address, text string) {
	conn, err := (&net.Dialer{Timeout: untrustedTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(untrustedTimeout))
	if _, err := io.WriteString(conn, text); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
