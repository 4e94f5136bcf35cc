package instance

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/enginehttp"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/adapter/servicehttp"
	"tanagerwood.dev/router/internal/adapter/statelog"
	"tanagerwood.dev/router/internal/app/cleanup"
	"tanagerwood.dev/router/internal/app/configsync"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/orders"
	"tanagerwood.dev/router/internal/app/placement"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/prefix"
	"tanagerwood.dev/router/internal/port"
	"tanagerwood.dev/router/internal/settings"
)

// prefixIndexBlocks bounds the prefix index: at 1 KiB of prompt per block it covers 64 MiB of distinct prompt text.
const prefixIndexBlocks = 1 << 16

func newInjector(o Options) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, o)
	do.ProvideValue(injector, o.Settings)
	do.ProvideValue(injector, metrics.NewRegistry())
	do.ProvideValue[port.Clock](injector, clock.System{})
	do.ProvideValue(injector, newMember(o.Settings, time.Now()))
	provideAdapters(injector)
	provideSharedDependencies(injector)
	provideRequestPaths(injector)
	provideServers(injector)
	return injector
}

// newMember returns the member identity of this process. A restarted process has a greater incarnation as long as the wall
// clock does not go back by more than the time between the starts.
func newMember(s *settings.Settings, now time.Time) peer.Member {
	return peer.Member{
		MemberID: peer.MemberID{Name: s.Instance, Incarnation: uint64(now.UnixNano())},
		Address:  s.PeerURL,
		Domain:   s.Domain,
	}
}

func provideAdapters(injector do.Injector) {
	answerMemory := membudget.New(answerAllowanceBytes, answerMemoryBytes)
	controlMemory := membudget.New(controlAllowanceBytes, controlMemoryBytes)
	do.Provide(injector, func(i do.Injector) (*event.Log, error) {
		s, self := do.MustInvoke[*settings.Settings](i), do.MustInvoke[peer.Member](i)
		incarnation := strconv.FormatUint(self.Incarnation, 10)
		return event.NewLog(self.Name, incarnation, s.EventCapacity, time.Now), nil
	})
	do.Provide(injector, func(i do.Injector) (*statelog.Recorder, error) {
		return statelog.NewRecorder(do.MustInvoke[*event.Log](i), do.MustInvoke[Options](i).Logger), nil
	})
	do.Provide(injector, func(i do.Injector) (port.EventLog, error) { return do.MustInvoke[*statelog.Recorder](i), nil })
	do.Provide(injector, func(i do.Injector) (port.Platform, error) {
		s := do.MustInvoke[*settings.Settings](i)
		client := platformhttp.New(platformhttp.Options{
			BaseURL: s.PlatformURL, Token: s.PlatformToken, Events: do.MustInvoke[*event.Log](i),
		})
		client.LimitMemory(controlMemory)
		return client, nil
	})
	do.Provide(injector, func(i do.Injector) (*peerhttp.Client, error) {
		s := do.MustInvoke[*settings.Settings](i)
		timeouts := peerhttp.DefaultTimeouts()
		client := peerhttp.NewClient(s.PeerToken, timeouts, do.MustInvoke[*event.Log](i), peerhttp.NewTransport())
		client.LimitMemory(controlMemory)
		return client, nil
	})
	do.Provide(injector, func(i do.Injector) (port.Peers, error) { return do.MustInvoke[*peerhttp.Client](i), nil })
	do.Provide(injector, func(i do.Injector) (port.Engine, error) {
		client := enginehttp.New(enginehttp.Options{}, do.MustInvoke[*event.Log](i))
		client.LimitMemory(answerMemory)
		return client, nil
	})
	do.Provide(injector, func(i do.Injector) (*servicehttp.Client, error) {
		client := servicehttp.New(do.MustInvoke[*event.Log](i))
		client.LimitMemory(answerMemory)
		return client, nil
	})
}

// Memory for answers while they are read, in bytes: of endpoints, and of the platform and peers. Each answer may take the allowance, and all
// others together the rest. An instance has 128 MB.
const (
	answerAllowanceBytes  = 16 << 10
	answerMemoryBytes     = 16 << 20
	controlAllowanceBytes = 64 << 10
	controlMemoryBytes    = 16 << 20
)

// provideSharedDependencies provides what the request paths share: configuration, membership, admission, loads
// and reservations.
func provideSharedDependencies(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (*configsync.Syncer, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return configsync.New(configsync.Options{
			Instance:       s.Instance,
			SeedAddresses:  s.Seeds,
			SelfAddress:    s.PeerURL,
			Platform:       do.MustInvoke[port.Platform](i),
			Peers:          do.MustInvoke[port.Peers](i),
			Events:         do.MustInvoke[port.EventLog](i),
			Metrics:        do.MustInvoke[metrics.Registry](i),
			OverridePolicy: s.ApplyPolicyOverrides,
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (port.Config, error) { return do.MustInvoke[*configsync.Syncer](i), nil })
	do.Provide(injector, func(i do.Injector) (*membership.Service, error) {
		self, s := do.MustInvoke[peer.Member](i), do.MustInvoke[*settings.Settings](i)
		return membership.New(membership.Settings{Self: self, SeedAddresses: s.Seeds, RandomSeed: self.Incarnation}, membership.Dependencies{
			Platform: do.MustInvoke[port.Platform](i),
			Peers:    do.MustInvoke[port.Peers](i),
			Clock:    do.MustInvoke[port.Clock](i),
			Config:   do.MustInvoke[port.Config](i),
			Events:   do.MustInvoke[port.EventLog](i),
			Metrics:  do.MustInvoke[metrics.Registry](i),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (port.Membership, error) { return do.MustInvoke[*membership.Service](i), nil })
	do.Provide(injector, func(i do.Injector) (*quotasync.Admission, error) {
		return quotasync.New(quotasync.Dependencies{
			Membership: do.MustInvoke[*membership.Service](i),
			LoanClient: do.MustInvoke[port.Peers](i),
			Clock:      do.MustInvoke[port.Clock](i),
			Config:     do.MustInvoke[port.Config](i),
			Events:     do.MustInvoke[port.EventLog](i),
			Metrics:    do.MustInvoke[metrics.Registry](i),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (port.Admission, error) { return do.MustInvoke[*quotasync.Admission](i), nil })
	do.Provide(injector, func(do.Injector) (*prefix.Index, error) { return prefix.New(prefixIndexBlocks), nil })
	do.Provide(injector, func(i do.Injector) (*endpointload.Poller, error) {
		self := do.MustInvoke[peer.Member](i)
		return endpointload.New(endpointload.Deps{
			Config:       do.MustInvoke[port.Config](i),
			Engine:       do.MustInvoke[port.Engine](i),
			Clock:        do.MustInvoke[port.Clock](i),
			Events:       do.MustInvoke[port.EventLog](i),
			PrefixIndex:  do.MustInvoke[*prefix.Index](i),
			InstanceName: self.Name,
			Domain:       self.Domain,
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*reservations.Service, error) {
		return reservations.New(reservations.Deps{
			Membership: do.MustInvoke[port.Membership](i),
			Peers:      do.MustInvoke[port.Peers](i),
			Engine:     do.MustInvoke[port.Engine](i),
			Loads:      do.MustInvoke[*endpointload.Poller](i),
			Config:     do.MustInvoke[port.Config](i),
			Clock:      do.MustInvoke[port.Clock](i),
			Metrics:    do.MustInvoke[metrics.Registry](i),
		}), nil
	})
}

func provideRequestPaths(injector do.Injector) {
	do.Provide(injector, func(do.Injector) (*modelpath.InflightRegistry, error) { return modelpath.NewInflightRegistry(), nil })
	do.Provide(injector, func(i do.Injector) (*modelpath.IDGenerator, error) {
		return modelpath.NewIDGenerator(do.MustInvoke[peer.Member](i).MemberID), nil
	})
	do.Provide(injector, func(i do.Injector) (*cleanup.Canceller, error) {
		return cleanup.NewCanceller(do.MustInvoke[port.Engine](i), do.MustInvoke[port.Config](i), do.MustInvoke[port.EventLog](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*cleanup.Reaper, error) {
		return cleanup.NewReaper(cleanup.Deps{
			Config:       do.MustInvoke[port.Config](i),
			Membership:   do.MustInvoke[port.Membership](i),
			Engine:       do.MustInvoke[port.Engine](i),
			Peers:        do.MustInvoke[port.Peers](i),
			Inflight:     do.MustInvoke[*modelpath.InflightRegistry](i),
			Events:       do.MustInvoke[port.EventLog](i),
			Canceller:    do.MustInvoke[*cleanup.Canceller](i),
			ListObserver: do.MustInvoke[*reservations.Service](i),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*orders.Manager, error) {
		return orders.New(orders.Deps{
			Clock:         do.MustInvoke[port.Clock](i),
			Config:        do.MustInvoke[port.Config](i),
			Platform:      do.MustInvoke[port.Platform](i),
			Membership:    do.MustInvoke[port.Membership](i),
			ServiceClient: do.MustInvoke[*servicehttp.Client](i),
			Events:        do.MustInvoke[port.EventLog](i),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*orders.Reconciler, error) {
		return orders.NewReconciler(do.MustInvoke[*orders.Manager](i), do.MustInvoke[port.Engine](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*placement.Placer, error) {
		return placement.New(placement.Deps{
			Config:       do.MustInvoke[port.Config](i),
			Loads:        do.MustInvoke[*endpointload.Poller](i),
			PrefixIndex:  do.MustInvoke[*prefix.Index](i),
			Reservations: do.MustInvoke[*reservations.Service](i),
			Clock:        do.MustInvoke[port.Clock](i),
			Domain:       do.MustInvoke[peer.Member](i).Domain,
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*modelpath.Handler, error) {
		return modelpath.New(modelpath.Deps{
			Config:    do.MustInvoke[port.Config](i),
			Admission: do.MustInvoke[port.Admission](i),
			Placer:    do.MustInvoke[*placement.Placer](i),
			Engine:    do.MustInvoke[port.Engine](i),
			Canceller: do.MustInvoke[*cleanup.Canceller](i),
			Clock:     do.MustInvoke[port.Clock](i),
			Events:    do.MustInvoke[port.EventLog](i),
			Metrics:   do.MustInvoke[metrics.Registry](i),
			Inflight:  do.MustInvoke[*modelpath.InflightRegistry](i),
		}), nil
	})
	do.Provide(injector, func(i do.Injector) (*servicepath.Forwarder, error) {
		return servicepath.New(servicepath.Deps{
			Clock:         do.MustInvoke[port.Clock](i),
			Config:        do.MustInvoke[port.Config](i),
			Platform:      do.MustInvoke[port.Platform](i),
			Peers:         do.MustInvoke[port.Peers](i),
			Membership:    do.MustInvoke[port.Membership](i),
			RosterSource:  do.MustInvoke[*membership.Service](i),
			Admission:     do.MustInvoke[port.Admission](i),
			ServiceClient: do.MustInvoke[*servicehttp.Client](i),
			Events:        do.MustInvoke[port.EventLog](i),
		}), nil
	})
}
