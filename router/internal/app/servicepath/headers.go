package servicepath

import (
	"net/http"
	"net/url"
	"strings"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/port"
)

// ReplayedHeader marks a response that was replayed from the claim under the call's idempotency key.
const ReplayedHeader = "Idempotency-Replayed"

// forwardedHeaders lists the request headers that are forwarded to endpoints. All others are dropped, credentials above all.
var forwardedHeaders = []string{"Content-Type", "Accept"}

// credentialParameters lists the query parameters that may carry a caller's key.
var credentialParameters = []string{"key", "api_key", "access_token"}

// strippedResponseHeaders lists the headers that are removed from a response: hop-by-hop headers and those that the router sets
// itself.
var strippedResponseHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Date", event.ClockHeader, openai.RequestIDHeader, openai.OutcomeHeader,
}

// newServiceCall builds the call that is sent to the endpoint.
func newServiceCall(c *Call, attempt string, fresh bool) port.ServiceCall {
	h := http.Header{}
	for _, name := range forwardedHeaders {
		if values := c.Header.Values(name); len(values) > 0 {
			h[name] = append([]string{}, values...)
		}
	}
	h.Set(openai.RequestIDHeader, attempt)
	return port.ServiceCall{Method: c.Method, Path: stripCredentials(c.Path), Header: h, Body: c.Body, NewConnection: fresh}
}

// stripCredentials removes credential parameters from the query and leaves the rest unchanged.
func stripCredentials(path string) string {
	path, query, found := strings.Cut(path, "?")
	if !found {
		return path
	}
	kept := make([]string, 0, strings.Count(query, "&")+1)
	for _, pair := range strings.Split(query, "&") {
		if !hasCredential(pair) {
			kept = append(kept, pair)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}

// hasCredential reports whether the query pair holds a credential parameter. It also splits at semicolons, which some services
// accept as separators.
func hasCredential(pair string) bool {
	for _, part := range strings.Split(pair, ";") {
		name, _, _ := strings.Cut(part, "=")
		if decoded, err := url.QueryUnescape(name); err == nil {
			name = decoded
		}
		for _, credential := range credentialParameters {
			if strings.EqualFold(strings.TrimSpace(name), credential) {
				return true
			}
		}
	}
	return false
}

func filterResponseHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedResponseHeaders {
		out.Del(name)
	}
	return out
}
