package operators

import (
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/app/drain"
	"tanagerwood.dev/router/internal/port"
)

// Status is the response body of GET /status: the current state of this instance.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Domain      string `json:"domain"`
	// Ready is true if NotReady is empty.
	Ready    bool        `json:"ready"`
	NotReady []string    `json:"notReady,omitempty"`
	Phase    drain.Phase `json:"phase"`

	// Revision is the catalogue revision in force. CheckedRevision is the newest one that was checked; if it is not valid,
	// it is greater than Revision.
	Revision             uint64 `json:"revision"`
	CheckedRevision      uint64 `json:"judgedRevision"`
	CheckedRevisionValid bool   `json:"judgedValid"`

	Generation uint64        `json:"rosterGeneration"`
	Members    []peer.Member `json:"members"`
	Alive      []peer.Member `json:"alive"`
	// Confirmed reports whether this instance may use its quota shares now.
	Confirmed bool    `json:"confirmed"`
	Shares    []Share `json:"shares"`

	Endpoints    []Endpoint `json:"endpoints"`
	OpenRequests int        `json:"openRequests"`
}

// Share is this instance's share of a customer's rate and burst.
type Share struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rateTokensPerSecond"`
	Burst    float64 `json:"burstTokens"`
	// Level is the number of tokens in the bucket, and Lent the number in outstanding loans.
	Level float64 `json:"levelTokens"`
	Lent  float64 `json:"lentTokens"`
}

// Endpoint is the state of an endpoint as known to this instance.
type Endpoint struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
	// Owner is the instance that owns the endpoint's soft state.
	Owner string `json:"owner"`
}

// ValidationStatus tells the newest judged revision; configsync.Sync implements it.
type ValidationStatus interface {
	Status() (revision uint64, valid bool)
}

// Rosters provides the newest known roster.
type Rosters interface {
	Roster() peer.Roster
}

// Shares provides this instance's quota shares.
type Shares interface {
	Shares() []Share
}

// Requests provides the number of queued and open requests.
type Requests interface {
	Open() int
}

// Drainer starts a planned stop and reports its phase; drain.Controller implements it.
type Drainer interface {
	Start()
	Phase() drain.Phase
}

// Check is a readiness check. It returns the reason why the instance is not ready, or an empty string if the check passes.
type Check func() string

// HasRevision returns a check that passes once a catalogue revision is in force.
func HasRevision(c port.Config) Check {
	return func() string {
		if c.Current().Revision > 0 {
			return ""
		}
		return "no catalogue revision is in force yet"
	}
}

// Confirmed returns a check that passes while the instance may use its quota shares.
func Confirmed(m port.Membership) Check {
	return func() string {
		if m.Confirmed() {
			return ""
		}
		return "neither the platform nor a majority of the roster confirms this instance"
	}
}

// NotDraining returns a check that passes until a planned stop begins.
func NotDraining(d Drainer) Check {
	return func() string {
		if d.Phase() == drain.PhaseServing {
			return ""
		}
		return "a planned stop is under way: " + string(d.Phase())
	}
}

func (s *Server) status() Status {
	o := s.options
	self := o.Membership.Self()
	roster := o.Rosters.Roster()
	judged, valid := o.Validation.Status()
	reasons := s.notReadyReasons()
	return Status{
		Instance:             self.Name,
		Incarnation:          self.Incarnation,
		Domain:               self.Domain,
		Ready:                len(reasons) == 0,
		NotReady:             reasons,
		Phase:                o.Drain.Phase(),
		Revision:             o.Config.Current().Revision,
		CheckedRevision:      judged,
		CheckedRevisionValid: valid,
		Generation:           roster.Generation,
		Members:              roster.Members,
		Alive:                o.Membership.Alive(),
		Confirmed:            o.Membership.Confirmed(),
		Shares:               o.Shares.Shares(),
		Endpoints:            s.endpoints(),
		OpenRequests:         o.Requests.Open(),
	}
}

func (s *Server) endpoints() []Endpoint {
	list := []Endpoint{}
	for _, e := range s.options.Config.Endpoints() {
		owner, _ := s.options.Membership.Owner(e.Name)
		list = append(list, Endpoint{Name: e.Name, Pool: e.Pool, Domain: e.Domain, Leaving: e.Leaving, Owner: owner.Name})
	}
	return list
}

func (s *Server) notReadyReasons() []string {
	var reasons []string
	for _, check := range s.options.Checks {
		if reason := check(); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}
