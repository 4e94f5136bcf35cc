// Package operators serves the HTTP API for operators: health, readiness, metrics, timeline, status and planned stops.
// The API has no authentication; its port must be bound to an address that only operators can reach.
package operators

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/app/drain"
	"tanagerwood.dev/router/internal/port"
)

// Options holds the dependencies of a Server.
type Options struct {
	// Version is the version of the program. The OpenAPI document contains it.
	Version    string
	Config     port.Config
	Validation ValidationStatus
	Membership port.Membership
	Rosters    Rosters
	Shares     Shares
	Requests   Requests
	Drain      Drainer
	// Checks determine readiness. Their reasons are reported in this order.
	Checks  []Check
	Events  *event.Log
	Metrics metrics.Registry
}

// Server is the http.Handler of the operators' port.
type Server struct {
	options Options
	handler http.Handler
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{options: o}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("tanagerwood operators", o.Version)
	config.CreateHooks = nil // omits "$schema" from responses
	config.DocsPath = ""     // the documentation page would load scripts from the Internet
	s.register(humago.New(mux, config))
	registerProfiles(mux)
	s.handler = o.Events.Handler(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Readiness is the response body of GET /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// DrainAnswer is the response body of POST /drain.
type DrainAnswer struct {
	Phase drain.Phase `json:"phase"`
}

type textOutput struct {
	ContentType string `header:"Content-Type"`
	Body        []byte
}

type readyOutput struct {
	Status int
	Body   Readiness
}

type statusOutput struct{ Body Status }

type drainOutput struct{ Body DrainAnswer }

type eventsInput struct {
	Since uint64 `query:"since" doc:"number of the last event already seen"`
}

type eventsOutput struct{ Body event.Page }

func (s *Server) register(api huma.API) {
	huma.Register(api, operation(http.MethodGet, "/healthz", "whether the process runs"), s.health)
	huma.Register(api, operation(http.MethodGet, "/readyz", "whether the balancer may send callers here"), s.ready)
	huma.Register(api, operation(http.MethodGet, "/metrics", "counters in the Prometheus text format"), s.metrics)
	huma.Register(api, operation(http.MethodGet, "/events", "timeline after a sequence number"), s.events)
	huma.Register(api, operation(http.MethodGet, "/status", "what this instance has in force"), s.getStatus)
	drainOperation := operation(http.MethodPost, "/drain", "begin a planned stop; the process exits when it is done")
	drainOperation.DefaultStatus = http.StatusAccepted
	huma.Register(api, drainOperation, s.drain)
}

func operation(method, path, summary string) huma.Operation {
	id := strings.ToLower(method) + strings.ReplaceAll(path, "/", "-")
	return huma.Operation{OperationID: id, Method: method, Path: path, Summary: summary}
}

func (s *Server) health(context.Context, *struct{}) (*textOutput, error) {
	return &textOutput{ContentType: "text/plain", Body: []byte("ok\n")}, nil
}

func (s *Server) ready(context.Context, *struct{}) (*readyOutput, error) {
	reasons := s.notReadyReasons()
	out := &readyOutput{Status: http.StatusOK, Body: Readiness{Ready: len(reasons) == 0, Reasons: reasons}}
	if !out.Body.Ready {
		out.Status = http.StatusServiceUnavailable
	}
	return out, nil
}

func (s *Server) metrics(context.Context, *struct{}) (*textOutput, error) {
	var out bytes.Buffer
	contentType, err := WriteMetrics(&out, s.options.Metrics)
	if err != nil {
		return nil, huma.Error500InternalServerError("the metrics cannot be written", err)
	}
	return &textOutput{ContentType: contentType, Body: out.Bytes()}, nil
}

func (s *Server) events(_ context.Context, in *eventsInput) (*eventsOutput, error) {
	return &eventsOutput{Body: s.options.Events.Since(in.Since)}, nil
}

func (s *Server) getStatus(context.Context, *struct{}) (*statusOutput, error) {
	return &statusOutput{Body: s.status()}, nil
}

func (s *Server) drain(context.Context, *struct{}) (*drainOutput, error) {
	s.options.Drain.Start()
	return &drainOutput{Body: DrainAnswer{Phase: s.options.Drain.Phase()}}, nil
}
