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

// acquire takes the lease if it does not exist, was released or has expired. It leaves l.lease nil if another instance holds the
// lease.
func (m *Manager) acquire(ctx context.Context, l *endpointLease, ep port.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	old, version, err := m.readLease(ctx, ep.Name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	now := m.Clock.Boot()
	isHolder := old.Holder == m.Membership.Self().MemberID
	free := old.FencingToken == 0 || old.Released || isHolder || l.watch.Expired(version, now, old.Duration())
	if !free {
		return nil
	}
	next := old.Successor(m.Membership.Self().MemberID)
	lease := &orderlease.Lease{Record: next, WriteStart: now}
	if lease.Version, err = m.writeLease(ctx, ep.Name, version, next); err != nil {
		return err
	}
	if !isHolder {
		lease.NotBefore = now + orderlease.TakeoverDelay(old, m.checksFencing(ep))
	}
	l.lease = lease
	return nil
}

// renew extends the lease. If another instance has taken it, the lease is dropped.
func (m *Manager) renew(ctx context.Context, l *endpointLease, ep port.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := m.Clock.Boot()
	next := l.lease.Record.Renewed()
	version, err := m.writeLease(ctx, ep.Name, l.lease.Version, next)
	switch {
	case err == nil:
		l.lease = &orderlease.Lease{Record: next, Version: version, WriteStart: start, NotBefore: l.lease.NotBefore}
	case fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound):
		l.lease = nil
	}
	return err
}

func (m *Manager) release(ctx context.Context, l *endpointLease, endpoint string) {
	if l.lease == nil || !l.lease.MayRelease(m.Clock.Boot()) {
		return
	}
	record := l.lease.Record
	record.Released = true
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	// If the write fails, the lease expires by itself.
	_, _ = m.writeLease(ctx, endpoint, l.lease.Version, record)
	l.lease = nil
}

func (m *Manager) checksFencing(ep port.Endpoint) bool {
	pool, ok := m.Config.Current().Pool(ep.Pool)
	return ok && pool.ChecksFencing
}

func (m *Manager) readLease(ctx context.Context, endpoint string) (orderlease.Record, uint64, error) {
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

// writeLease creates or replaces the record. If the reply is lost, it reads the record back: only the holder writes its fencing
// token and renewal count.
func (m *Manager) writeLease(ctx context.Context, endpoint string, version uint64, record orderlease.Record) (uint64, error) {
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
	if err == nil || !fault.Is(err, fault.PlatformUnavailable) {
		return written, err
	}
	readBack, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	found, version, readErr := m.readLease(readBack, endpoint)
	if readErr == nil && found == record {
		return version, nil
	}
	return 0, err
}
