package clientlimit

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Configure prepares a server that serves this listener. It must be called before the server serves, after all other changes to it.
func (l *Listener) Configure(s *http.Server) {
	s.Handler = reportBody(s.Handler)
	s.MaxHeaderBytes = MaxHeadBytes + targetBytes
	// The handler of the server itself answers "OPTIONS *" without the middleware, which must see every request.
	s.DisableGeneralOptionsHandler = true
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	connState := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		observe(c, state)
		if connState != nil {
			connState(c, state)
		}
	}
}

// observe follows the state of a connection. The server reports StateIdle when it has written the answer and reads nothing.
func observe(c net.Conn, state http.ConnState) {
	limited, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		limited.finish()
	case http.StateHijacked:
		limited.mode = hijacked
	}
}

// reportBody tells the connection how the server understands the framing of a request's body.
func reportBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setBody(r.ContentLength, len(r.TransferEncoding) > 0)
		}
		if r.RequestURI == "*" && r.Method == http.MethodOptions {
			w.Header().Set("Content-Length", "0")
			return
		}
		next.ServeHTTP(w, r)
	})
}
