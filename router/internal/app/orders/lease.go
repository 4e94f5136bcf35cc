package orders

import (
	"context"
	"encoding/json"
	"time"

	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/orderlease"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// acquire takes the lease if it does not exist, was released or has lapsed. It leaves s.lease nil if another instance
// holds it.
func (m *Manager) acquire(ctx context.Context, s *state, ep port.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	old, version, err := m.read(ctx, ep.Name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	now := m.Clock.Boot()
	mine := old.Holder == m.Membership.Self().MemberID
	free := old.FencingToken == 0 || old.Released || mine || s.watch.Expired(version, now, old.Duration())
	if !free {
		return nil
	}
	next := old.Successor(m.Membership.Self().MemberID)
	lease := &orderlease.Lease{Record: next, WriteStart: now}
	if lease.Version, err = m.write(ctx, ep.Name, version, next); err != nil {
		return err
	}
	if !mine {
		lease.NotBefore = now + orderlease.TakeoverDelay(old, m.checksFencing(ep))
	}
	s.lease = lease
	return nil
}

// renew makes the lease last longer. If another instance has taken it, the lease is dropped.
func (m *Manager) renew(ctx context.Context, s *state, ep port.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	begun := m.Clock.Boot()
	next := s.lease.Record.Renewed()
	version, err := m.write(ctx, ep.Name, s.lease.Version, next)
	switch {
	case err == nil:
		s.lease = &orderlease.Lease{Record: next, Version: version, WriteStart: begun, NotBefore: s.lease.NotBefore}
	case fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound):
		s.lease = nil
	}
	return err
}

func (m *Manager) release(ctx context.Context, s *state, endpoint string) {
	if s.lease == nil || !s.lease.MayRelease(m.Clock.Boot()) {
		return
	}
	record := s.lease.Record
	record.Released = true
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	// If the write fails, the lease lapses by itself.
	_, _ = m.write(ctx, endpoint, s.lease.Version, record)
	s.lease = nil
}

func (m *Manager) checksFencing(ep port.Endpoint) bool {
	pool, ok := m.Config.Current().Pool(ep.Pool)
	return ok && pool.ChecksFencing
}

func (m *Manager) read(ctx context.Context, endpoint string) (orderlease.Record, uint64, error) {
	object, err := m.Platform.Get(ctx, platform.KindOrderLease, endpoint)
	if err != nil {
		return orderlease.Record{}, 0, err
	}
	var record orderlease.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return orderlease.Record{}, 0, err
	}
	return record, object.Version, nil
}

// write creates or replaces the record. If the reply is lost, the record is read back: a holder's fencing number and
// renewal count are written by nobody else.
func (m *Manager) write(ctx context.Context, endpoint string, version uint64, record orderlease.Record) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	var written uint64
	if version == 0 {
		written, err = m.Platform.Create(ctx, platform.KindOrderLease, endpoint, value)
	} else {
		written, err = m.Platform.Replace(ctx, platform.KindOrderLease, endpoint, version, value)
	}
	if err == nil || !fault.Is(err, fault.PlatformDown) {
		return written, err
	}
	readBack, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	found, version, readErr := m.read(readBack, endpoint)
	if readErr == nil && found == record {
		return version, nil
	}
	return 0, err
}
