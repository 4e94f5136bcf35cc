package forward

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/routing"
)

// twoEndpoints is a RoutingState with two plain endpoints.
type twoEndpoints struct{ RoutingState }

// Stage implements RoutingState.
func (twoEndpoints) Stage(string, routing.Stage) []routing.Endpoint {
	return make([]routing.Endpoint, 2)
}

// Guards against withheld failure responses that are held in memory, until another endpoint answers, without counting.
func TestWithheldResponsesCount(t *testing.T) {
	budget := membudget.New(16<<10, 1<<20)
	f := &Forwarder{Deps: Deps{State: twoEndpoints{}, AnswerMemory: budget, SinceBoot: func() time.Duration { return 0 }}}
	r := &requestState{Forwarder: f, route: &routing.Route{Kind: routing.Safe, MaxAttempts: 3}, service: &routing.Service{}, deadline: time.Minute}
	for range 2 {
		body := io.NopCloser(strings.NewReader(strings.Repeat("x", 100<<10)))
		err := r.forwardResponse(&routing.Answer{Status: http.StatusInternalServerError, Body: body})
		if !errors.Is(err, errEndpointFailure) {
			t.Fatal(err)
		}
		if used := budget.Used(); used < 84<<10 || used > 128<<10 {
			t.Errorf("%d bytes are counted for a withheld response of 100 KB", used)
		}
	}
	r.withheldMemory.Close()
	if budget.Used() != 0 {
		t.Error(budget.Used(), "bytes are counted after the end of the request")
	}
}
