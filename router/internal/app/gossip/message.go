package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/domain/stages"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

// Message is a message from one instance to others: a report, a view, or a request for one of them.
type Message struct {
	Sender   routing.Instance `json:"sender"`
	Sequence uint64           `json:"seq"`
	// ReportNumber counts the sender's reports. A partial report whose number does not follow the last one shows that a report
	// was lost.
	ReportNumber uint64 `json:"number"`
	// ConfigVersion is the version of the configuration, EndpointsRevision the revision of the list of endpoints at the sender.
	ConfigVersion     uint64 `json:"version"`
	EndpointsRevision uint64 `json:"endpoints"`
	// Evacuations holds the evacuated domains: in reports, views and announcements of versions.
	Evacuations *routingcache.EvacuationReport `json:"evacuations,omitempty"`
	// PlatformAnswerAgeMS is how many milliseconds ago the platform last answered the sender, or in views any instance; zero if unknown.
	PlatformAnswerAgeMS int64            `json:"answered,omitempty"`
	Spent               map[string]int64 `json:"spent,omitempty"`
	// SpentBaseline is the part of Spent that earlier collectors have already counted. It is set in full states of readers, and
	// of collectors that have lately been readers.
	SpentBaseline map[string]int64         `json:"base,omitempty"`
	Work          map[string]inflight.Load `json:"work,omitempty"`
	// Waiting lists the sender's requests that wait for a place. Partial messages hold it, too.
	Waiting []waitlist.Request `json:"waiting,omitempty"`
	// Transitions lists the engines that the sender has ordered to change their stage; in periodic messages only.
	Transitions []stages.Transition `json:"changing,omitempty"`
	// Outcomes holds the results at endpoints that have failed lately; in periodic messages only.
	Outcomes map[string]health.Outcomes `json:"outcomes,omitempty"`
	// Speeds holds measurements at endpoints that are faster or slower than their service; in periodic messages only.
	Speeds map[string]speed.Report `json:"speeds,omitempty"`
	// Leaving lists the endpoints that have announced that they leave; in periodic messages only.
	Leaving []availability.LeavingEndpoint `json:"leaving,omitempty"`
	// Limits lists the request limits that endpoints have stated: in periodic messages those stated to the sender, in views all.
	Limits []availability.StatedLimit `json:"limits,omitempty"`
	// Crashes lists crashes of engines at the beginning of answers: in reports when the sender has changed a record, in full states
	// those that it has observed, or all if it is a collector, and in views those that have parts in common.
	Crashes []quarantine.Crash `json:"crashes,omitempty"`
	// Stopped is set in the last message of an instance that stops as planned.
	Stopped bool `json:"stopped,omitempty"`
	// Partial messages hold only the Spent and Work entries that have changed since the sender's last report.
	Partial bool `json:"partial,omitempty"`
	// Periodic messages are sent at regular times or with new endpoint status. The others are sent when something else has
	// changed.
	Periodic bool `json:"periodic,omitempty"`
	// ViewFor is set in views and in requests for them: the reader for which the state of the others is aggregated. In a view,
	// Spent, Work, Waiting, Transitions and Outcomes are those of all instances but the reader, and InstanceCount includes it.
	ViewFor       string `json:"view,omitempty"`
	InstanceCount int    `json:"instances,omitempty"`
	// BucketLevels holds the levels of the customers' token buckets; in views only.
	BucketLevels map[string]int64 `json:"levels,omitempty"`
	// ViewFrom names the collector that is to send the sender a view; "*" means every receiver.
	ViewFrom string `json:"view_from,omitempty"`
	// Collectors lists the collectors known to the sender, which is a collector, or a reader that was sent a report as if it were
	// one.
	Collectors []routing.Instance `json:"collectors,omitempty"`
	// Standbys lists the instances that become collectors if all Collectors are lost; in views only.
	Standbys []routing.Instance `json:"standbys,omitempty"`
	// VersionsOnly is set in messages that hold nothing but the versions of a collector.
	VersionsOnly bool `json:"versions,omitempty"`
	// RequestState requests the full state of the receiver. Such a message holds nothing else.
	RequestState bool `json:"ask,omitempty"`
}

// State is what an instance returns to another one that fetches its state.
type State struct {
	Copy      routingcache.Snapshot `json:"copy"`
	Instances []routing.Instance    `json:"instances"`
	// PlatformAnswerAgeMS is how many milliseconds ago the platform last answered any instance, in answers to FetchNewer.
	PlatformAnswerAgeMS int64 `json:"answered,omitempty"`
}

// runChangeReports sends a partial report after each trigger. Triggers within batchDelay share a report.
func (s *Service) runChangeReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.trigger:
		}
		background.SleepContext(ctx, batchDelay)
		s.sendVersions()
		s.reportChanges()
		s.pushViews()
	}
}

// accounts is a consistent reading of what this instance has admitted and of its work.
type accounts struct {
	spent map[string]int64
	work  map[string]inflight.Load
}

func (s *Service) ownState() accounts {
	return accounts{s.Limiter.LocalSpent(), s.EndpointLoad.Local()}
}

// reportChanges sends what has changed since the last report, if anything has.
func (s *Service) reportChanges() {
	s.mu.Lock()
	own := s.ownState()
	m := s.changedState(own)
	triggered := s.statusTriggered.Swap(false)
	withStatus := s.Health.ReportPending() || triggered
	if withStatus {
		m = s.addPeriodicFields(m)
	}
	if len(m.Spent)+len(m.Work)+len(m.Waiting)+s.reportedWaiting+len(m.Crashes) == 0 && !withStatus {
		s.mu.Unlock()
		return
	}
	s.sendReport(m, own)
}

// reportPeriodic sends the full state every periodsPerFullState periods, and the changes in the others.
func (s *Service) reportPeriodic() {
	s.mu.Lock()
	own := s.ownState()
	var m Message
	if s.periodCount%periodsPerFullState == 0 {
		m = s.fullState(own)
	} else {
		m = s.addPeriodicFields(s.changedState(own))
	}
	s.periodCount++
	s.sendReport(m, own)
}

// SendState sends the full state to the collectors. stopped marks the last message before a planned stop.
func (s *Service) SendState(stopped bool) {
	s.mu.Lock()
	own := s.ownState()
	m := s.fullState(own)
	m.Stopped = stopped
	s.sendReport(m, own)
}

// sendReport sends a report of the accounts to the collectors. It releases s.mu.
func (s *Service) sendReport(m Message, own accounts) {
	s.reported, s.reportedWaiting = own, len(m.Waiting)
	s.sequence++
	s.reportNumber++
	m.Sequence, m.ReportNumber = s.sequence, s.reportNumber
	if m.Periodic || len(m.Waiting) > 0 {
		m.ViewFrom = s.collectors.primary
	}
	if s.collectors.collecting() {
		m.Collectors = s.collectors.members
	}
	addresses := s.reportAddresses()
	s.mu.Unlock()
	s.send(m, addresses)
}

// newMessage returns the fields that all reports hold.
func (s *Service) newMessage() Message {
	config, endpoints := s.Mirror.Versions()
	return Message{Sender: s.Self, ConfigVersion: config, EndpointsRevision: endpoints, Waiting: s.Queue.Waiting(), Evacuations: s.Mirror.EvacuationReport(),
		PlatformAnswerAgeMS: answerAgeMS(s.Mirror.OwnAnswerAge())}
}

// answerAgeMS encodes the age of an answer of the platform.
func answerAgeMS(age time.Duration, answered bool) int64 {
	if !answered {
		return 0
	}
	return max(1, age.Milliseconds())
}

// changedState returns the changes since the last report; s.mu is held.
func (s *Service) changedState(own accounts) Message {
	m := s.newMessage()
	m.Partial = true
	m.Spent, m.Work = diff(s.reported.spent, own.spent), diff(s.reported.work, own.work)
	if changes := s.Quarantine.OwnChanges(); changes != s.reportedCrashChanges {
		s.reportedCrashChanges = changes
		m.Crashes = s.Quarantine.All(s.Boot())
	}
	return m
}

// fullState returns the full state of this instance; s.mu is held.
func (s *Service) fullState(own accounts) Message {
	m := s.newMessage()
	m.Spent, m.Work, m.SpentBaseline = own.spent, own.work, s.collectors.spentBaseline
	if s.collectors.collecting() {
		m.Crashes = s.Quarantine.All(s.Boot())
	} else {
		m.Crashes = s.Quarantine.Own(s.Boot())
	}
	return s.addPeriodicFields(m)
}

// addPeriodicFields sets the fields that only periodic messages hold.
func (s *Service) addPeriodicFields(m Message) Message {
	now := s.Boot()
	m.Periodic, m.Transitions, m.Outcomes = true, s.Transitions.Local(now), s.Health.LocalReport(now)
	m.Speeds = s.Speeds.LocalReport(now)
	m.Leaving, m.Limits = s.Availability.LeavingEndpoints(now), s.Availability.OwnLimits(now)
	return m
}

// diff returns the entries of now that differ from before. Entries that are missing in now become zero values.
func diff[V comparable](before, now map[string]V) map[string]V {
	out := map[string]V{}
	for key, value := range now {
		if old, known := before[key]; !known || old != value {
			out[key] = value
		}
	}
	var zero V
	for key := range before {
		if _, left := now[key]; !left {
			out[key] = zero
		}
	}
	return out
}

func (s *Service) send(m Message, addresses []string) {
	if err := s.Transport.Send(addresses, m); err != nil && !errors.Is(err, net.ErrClosed) {
		s.Logger.Debug().Str("event", "message.not_sent").Int("to", len(addresses)).Err(err).Msg("")
	}
}

// Leave tells the other instances that this one stops.
func (s *Service) Leave() {
	s.SendState(true)
	s.redirectReaders()
}
