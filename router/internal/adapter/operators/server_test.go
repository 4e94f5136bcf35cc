package operators_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/app/drain"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/port"
)

func TestOperators(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operators' port")
}

// fakeState implements the dependencies of the server with values that the tests set.
type fakeState struct {
	port.Config
	port.Membership
	revision  uint64
	confirmed bool
	phase     drain.Phase
}

var self = peer.Member{MemberID: peer.MemberID{Name: "klang-1", Incarnation: 7}, Domain: "Klang"}

func (s *fakeState) Current() *config.Snapshot { return config.New(s.revision, catalogue.Catalogue{}) }
func (s *fakeState) Endpoints() []port.Endpoint {
	return []port.Endpoint{{Name: "tulis-1", Pool: "Tulis"}}
}
func (s *fakeState) Self() peer.Member                { return self }
func (s *fakeState) Alive() []peer.Member             { return []peer.Member{self} }
func (s *fakeState) Confirmed() bool                  { return s.confirmed }
func (s *fakeState) Owner(string) (peer.Member, bool) { return self, true }
func (s *fakeState) Status() (uint64, bool)           { return s.revision + 1, false }
func (s *fakeState) Roster() peer.Roster {
	return peer.Roster{Generation: 3, Members: []peer.Member{self}}
}
func (s *fakeState) Shares() []operators.Share {
	return []operators.Share{{Customer: "kedai", Rate: 10, Level: 4}}
}
func (s *fakeState) Open() int          { return 2 }
func (s *fakeState) Start()             { s.phase = drain.PhaseNotice }
func (s *fakeState) Phase() drain.Phase { return s.phase }

var _ = Describe("the operators' port", func() {
	var (
		state    *fakeState
		registry metrics.Registry
		server   *operators.Server
		log      *event.Log
	)

	BeforeEach(func() {
		state = &fakeState{revision: 9, confirmed: true, phase: drain.PhaseServing}
		registry = metrics.NewRegistry()
		log = event.NewLog("klang-1", "7", 16, time.Now)
		server = operators.New(operators.Options{
			Config: state, Validation: state, Membership: state, Rosters: state, Shares: state, Requests: state, Drain: state,
			Checks: []operators.Check{operators.HasRevision(state), operators.Confirmed(state), operators.NotDraining(state)},
			Events: log, Metrics: registry,
		})
	})

	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}

	// Guards against a load balancer that keeps sending requests to an instance that refuses them.
	It("is ready only with a revision in force, confirmed, and not draining", func() {
		Expect(call("GET", "/healthz").Code).To(Equal(200))
		Expect(call("GET", "/readyz").Code).To(Equal(200))
		state.revision = 0
		Expect(call("GET", "/readyz").Body.String()).To(ContainSubstring("no catalogue revision"))
		state.revision, state.confirmed = 9, false
		w := call("GET", "/readyz")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(ContainSubstring("majority"))
		state.confirmed = true
		w = call("POST", "/drain")
		Expect(w.Code).To(Equal(202))
		Expect(w.Body.String()).To(MatchJSON(`{"phase":"notice"}`))
		w = call("GET", "/readyz")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(ContainSubstring("planned stop"))
		Expect(call("GET", "/healthz").Code).To(Equal(200))
	})

	It("reports the state of the instance at /status", func() {
		var status operators.Status
		Expect(json.Unmarshal(call("GET", "/status").Body.Bytes(), &status)).To(Succeed())
		Expect(status).To(Equal(operators.Status{
			Instance: "klang-1", Incarnation: 7, Domain: "Klang", Ready: true, Phase: drain.PhaseServing,
			Revision: 9, CheckedRevision: 10, Generation: 3, Members: []peer.Member{self}, Alive: []peer.Member{self}, Confirmed: true,
			Shares:    []operators.Share{{Customer: "kedai", Rate: 10, Level: 4}},
			Endpoints: []operators.Endpoint{{Name: "tulis-1", Pool: "Tulis", Owner: "klang-1"}}, OpenRequests: 2,
		}))
	})

	It("serves the timeline with the hybrid clock, and an OpenAPI document", func() {
		log.Record(event.Event{Kind: event.ConfigApplied})
		log.Record(event.Event{Kind: event.RosterChanged})
		w := call("GET", "/events?since=1")
		Expect(w.Header().Get(event.ClockHeader)).NotTo(BeEmpty())
		var page event.Page
		Expect(json.Unmarshal(w.Body.Bytes(), &page)).To(Succeed())
		Expect(page.Events).To(HaveLen(1))
		Expect(call("GET", "/events?since=x").Code).To(Equal(422))
		Expect(call("GET", "/openapi.json").Body.String()).To(ContainSubstring(`"/drain"`))
	})

	// Guards against output that a Prometheus parser rejects because of special characters in names and labels.
	It("writes metrics in the Prometheus text format", func() {
		metrics.GetOrRegisterCounter("quota.admitted;customer=kedai \"A\"", registry).Inc(3)
		metrics.GetOrRegisterCounter("quota.admitted;customer=mesin", registry).Inc(4)
		metrics.GetOrRegisterGauge("config.revision", registry).Update(9)
		metrics.GetOrRegisterHistogram("first-token.ms", registry, metrics.NewUniformSample(16)).Update(5)
		w := call("GET", "/metrics")
		Expect(w.Header().Get("Content-Type")).To(HavePrefix("text/plain"))
		parser := expfmt.NewTextParser(model.LegacyValidation)
		families, err := parser.TextToMetricFamilies(strings.NewReader(w.Body.String()))
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(HaveLen(3))
		var customers []string
		for _, m := range families["tanagerwood_quota_admitted_total"].Metric {
			Expect(m.Label).To(HaveLen(1))
			customers = append(customers, m.Label[0].GetValue())
		}
		Expect(customers).To(ConsistOf(`kedai "A"`, "mesin"))
		Expect(families["tanagerwood_config_revision"].Metric[0].GetGauge().GetValue()).To(Equal(9.0))
		Expect(families["tanagerwood_first_token_ms"].Metric[0].GetSummary().GetSampleCount()).To(BeEquivalentTo(1))
	})
})
