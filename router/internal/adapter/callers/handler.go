// Package callers serves the HTTP API for callers: OpenAI-compatible model requests and the routes of plain services.
package callers

import (
	"context"
	"errors"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Paths of the model API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

const (
	defaultMaxBody = 8 << 20
	// defaultWriteTimeout is the time without any bytes read by the caller after which it is treated as disconnected.
	defaultWriteTimeout = 30 * time.Second
	// writePartBytes is the size of the parts in which an answer is written.
	writePartBytes = 16 << 10
	// readTimeout limits the time to read a request body.
	readTimeout = 30 * time.Second
	// statusClientClosedRequest is the status in logs of requests whose caller disconnected; no caller receives it.
	statusClientClosedRequest = 499
)

// ModelHandler serves model requests.
type ModelHandler interface {
	Serve(ctx context.Context, req *modelpath.Request, sink modelpath.TokenWriter) (modelpath.Result, error)
}

// ServiceHandler serves calls of plain services.
type ServiceHandler interface {
	Handle(ctx context.Context, call servicepath.Call) (port.ServiceResponse, error)
}

// Deps holds the dependencies and settings of a Handler.
type Deps struct {
	Config  port.Config
	Models  ModelHandler
	Service ServiceHandler
	IDs     *modelpath.IDGenerator
	Clock   port.Clock
	// WriteTimeout is the time without any bytes read by the caller after which it is treated as disconnected; 30 s if
	// zero.
	WriteTimeout time.Duration
	// Stop ends the reads of bodies in a planned stop; they never end early if it is nil.
	Stop *plannedstop.Signals
}

// Handler is the http.Handler of the callers' port.
type Handler struct{ Deps }

// New returns a handler.
func New(d Deps) *Handler {
	if d.WriteTimeout == 0 {
		d.WriteTimeout = defaultWriteTimeout
	}
	if d.Stop == nil {
		d.Stop = plannedstop.New()
	}
	return &Handler{Deps: d}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := h.IDs.Next()
	w.Header().Set(openai.RequestIDHeader, id)
	if err := h.route(w, r, id); err != nil {
		h.writeError(w, err)
	}
}

// route serves the request. It returns an error only if nothing has been written yet.
func (h *Handler) route(w http.ResponseWriter, r *http.Request, id string) error {
	if err := checkHeaders(r); err != nil {
		return err
	}
	if err := checkPath(r); err != nil {
		return err
	}
	snapshot := h.Config.Current()
	switch {
	case r.URL.Path == pathChat || r.URL.Path == pathCompletions:
		return h.serveCompletion(w, r, snapshot, id)
	case r.URL.Path == pathModels || strings.HasPrefix(r.URL.Path, pathModels+"/"):
		return h.serveModels(w, r, snapshot)
	default:
		return h.serveService(w, r, snapshot, id)
	}
}

// authenticate returns the customer that the request's key belongs to, and the digest of the key.
func authenticate(r *http.Request, s *config.Snapshot) (*config.Customer, config.KeyDigest, error) {
	key, ok := bearerToken(r.Header.Get("Authorization"))
	if !ok {
		return nil, config.KeyDigest{}, fault.New(fault.Unauthorized, `no key; send "Authorization: Bearer KEY"`)
	}
	digest := config.DigestKey(key)
	customer, ok := s.CustomerByKey(digest)
	if !ok {
		return nil, config.KeyDigest{}, fault.New(fault.Unauthorized, "the key is not granted; check it or ask the operator for one")
	}
	return customer, digest, nil
}

func bearerToken(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || strings.ContainsAny(key, " ,\t") {
		return "", false
	}
	return key, true
}

// singleHeaders must not be repeated, because two HTTP parsers may choose different values.
var singleHeaders = []string{"Authorization", "Content-Type", "Content-Length", "Transfer-Encoding", "Idempotency-Key", "Host"}

// checkHeaders rejects requests whose headers two HTTP parsers may interpret differently.
func checkHeaders(r *http.Request) error {
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return fault.New(fault.BadRequest, "header "+name+" is repeated; send it once")
		}
	}
	for name := range r.Header {
		// Some servers treat an underscore as a hyphen, so such a name could be taken for another header.
		if strings.Contains(name, "_") {
			return fault.New(fault.BadRequest, "header names with underscores are not accepted; use hyphens")
		}
	}
	for _, value := range r.Header.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			if t := strings.TrimSpace(token); t != "" && !strings.EqualFold(t, "keep-alive") && !strings.EqualFold(t, "close") {
				return fault.New(fault.BadRequest, `"Connection" may only be keep-alive or close; it cannot name headers to drop`)
			}
		}
	}
	return nil
}

// checkPath rejects paths that could match a different route at the endpoint than in the router.
func checkPath(r *http.Request) error {
	clean := path.Clean(r.URL.Path)
	escaped := strings.ToLower(r.URL.EscapedPath())
	if clean != strings.TrimSuffix(r.URL.Path, "/") && r.URL.Path != "/" ||
		strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(escaped, "%00") {
		return fault.New(fault.BadRequest, "the path is not in its plain form; remove dot segments, empty segments and encoded slashes")
	}
	return nil
}

// readBody reads the request body, up to the configured maximum size.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, s *config.Snapshot) ([]byte, error) {
	limit := s.Catalogue.Policy.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	controller := http.NewResponseController(w)
	// The response recorders of tests do not support deadlines; connections always do.
	_ = controller.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	detach := context.AfterFunc(h.Stop.Waits(), func() { _ = controller.SetReadDeadline(time.Now()) })
	defer detach()
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes; shorten it")
	}
	if err != nil && h.Stop.Waits().Err() != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, plannedstop.Error()
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, openai.NotRun, "the body ended early; send it again")
	}
	return body, nil
}

// deadlineWriter sets the write deadline before each write, so that only callers that read no bytes are disconnected.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func (h *Handler) withWriteDeadline(w http.ResponseWriter) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: h.WriteTimeout}
}

// Write implements http.ResponseWriter. Long answers are written in parts, so that a caller that reads them slowly is not disconnected.
func (w *deadlineWriter) Write(p []byte) (written int, err error) {
	for {
		_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
		n, err := w.ResponseWriter.Write(p[:min(len(p), writePartBytes)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

func (w *deadlineWriter) flush() error { return w.controller.Flush() }
