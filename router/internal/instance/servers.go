package instance

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/adapter/callers"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/app/configsync"
	"tanagerwood.dev/router/internal/app/drain"
	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/port"
	"tanagerwood.dev/router/internal/settings"
)

// Each of the three servers has its own type, because the injector resolves dependencies by type.
type (
	callerServer   struct{ *http.Server }
	peerServer     struct{ *http.Server }
	operatorServer struct{ *http.Server }
)

func provideServers(injector do.Injector) {
	do.ProvideValue(injector, plannedstop.New())
	do.Provide(injector, func(i do.Injector) (*openRequests, error) {
		return &openRequests{models: do.MustInvoke[*modelpath.InflightRegistry](i), services: do.MustInvoke[*servicepath.Forwarder](i), stop: do.MustInvoke[*plannedstop.Signals](i)}, nil
	})
	do.Provide(injector, func(i do.Injector) (*callerServer, error) {
		handler := callers.New(callers.Deps{
			Config:  do.MustInvoke[port.Config](i),
			Models:  do.MustInvoke[*modelpath.Handler](i),
			Service: do.MustInvoke[*servicepath.Forwarder](i),
			IDs:     do.MustInvoke[*modelpath.IDGenerator](i),
			Clock:   do.MustInvoke[port.Clock](i),
			Stop:    do.MustInvoke[*plannedstop.Signals](i),
		})
		return &callerServer{newServer(handler)}, nil
	})
	do.Provide(injector, func(i do.Injector) (*drain.Controller, error) {
		s, server := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*callerServer](i)
		controller := drain.New(drain.Options{
			NoticePeriod:  s.DrainNotice,
			FinishTimeout: s.DrainTimeout,
			Announcer:     drainAnnouncer{do.MustInvoke[*membership.Service](i)},
			Server:        server,
			Requests:      do.MustInvoke[*openRequests](i),
			Roster:        do.MustInvoke[*membership.Service](i),
			Events:        do.MustInvoke[port.EventLog](i),
		})
		server.Handler = controller.DisableKeepAlives(server.Handler)
		return controller, nil
	})
	do.Provide(injector, func(i do.Injector) (*peerServer, error) {
		s, members := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*membership.Service](i)
		handler := peerhttp.NewHandler(s.PeerToken, do.MustInvoke[*event.Log](i), peerhttp.Receivers{
			Heartbeats:    members,
			Confirmations: members,
			Removals:      members,
			Snapshots:     do.MustInvoke[*configsync.Syncer](i),
			Loans:         do.MustInvoke[*quotasync.Admission](i),
			Reservations:  peerReservations{do.MustInvoke[*reservations.Service](i)},
			Inflight:      peerAttempts{do.MustInvoke[*modelpath.InflightRegistry](i)},
			Claims:        peerClaims{do.MustInvoke[*servicepath.Forwarder](i)},
		})
		return &peerServer{newServer(handler)}, nil
	})
	do.Provide(injector, func(i do.Injector) (*operatorServer, error) {
		members, config := do.MustInvoke[*membership.Service](i), do.MustInvoke[*configsync.Syncer](i)
		controller := do.MustInvoke[*drain.Controller](i)
		handler := operators.New(operators.Options{
			Version:    do.MustInvoke[Options](i).Version,
			Config:     config,
			Validation: config,
			Membership: members,
			Rosters:    members,
			Shares:     shareLister{do.MustInvoke[*quotasync.Admission](i)},
			Requests:   do.MustInvoke[*openRequests](i),
			Drain:      controller,
			Checks:     []operators.Check{operators.NotDraining(controller), operators.HasRevision(config), operators.Confirmed(members)},
			Events:     do.MustInvoke[*event.Log](i),
			Metrics:    do.MustInvoke[metrics.Registry](i),
		})
		return &operatorServer{newServer(handler)}, nil
	})
}
