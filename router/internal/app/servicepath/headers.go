package servicepath

import (
	"net/http"
	"net/url"
	"strings"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/port"
)

// ReplayedHeader marks an answer that was stored under the call's idempotency key.
const ReplayedHeader = "Idempotency-Replayed"

// forwarded lists the headers of callers that endpoints see. Everything else, credentials above all, stays here.
var forwarded = []string{"Content-Type", "Accept"}

// credentialParameters are query parameters that may hold a caller's key.
var credentialParameters = []string{"key", "api_key", "access_token"}

// hopHeaders belong to one connection and are not passed on with an answer.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Date", event.ClockHeader, openai.RequestIDHeader,
}

// serviceCall builds what the endpoint sees.
func serviceCall(c *Call, attempt string, fresh bool) port.ServiceCall {
	h := http.Header{}
	for _, name := range forwarded {
		if values := c.Header.Values(name); len(values) > 0 {
			h[name] = append([]string{}, values...)
		}
	}
	h.Set(openai.RequestIDHeader, attempt)
	return port.ServiceCall{Method: c.Method, Path: withoutCredentials(c.Path), Header: h, Body: c.Body, Fresh: fresh}
}

// withoutCredentials removes credential parameters from the query and leaves the rest as it is.
func withoutCredentials(path string) string {
	path, query, found := strings.Cut(path, "?")
	if !found {
		return path
	}
	kept := make([]string, 0, strings.Count(query, "&")+1)
	for _, pair := range strings.Split(query, "&") {
		if !holdsCredential(pair) {
			kept = append(kept, pair)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}

// holdsCredential also looks behind semicolons, which some services take as separators.
func holdsCredential(pair string) bool {
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

func answerHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
