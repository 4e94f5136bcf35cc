package routingcache

import "time"

const (
	// defaultHeartbeat is the assumed interval of the heartbeats of endpoints if none is set.
	defaultHeartbeat = 1200 * time.Millisecond
	// expirySilence is the shortest outage, in heartbeat intervals, in which an entry can expire. The store removes it after three
	// intervals without a heartbeat; the last one may have come almost an interval before the outage, and intervals vary.
	expirySilence = 1.75
)

// outageDetector derives from the times of the platform's answers to all instances whether the platform was away for so long that entries
// may have expired. An instance whose own calls fail cannot tell a platform that is away from one that only rejects this instance.
// Times are since boot.
type outageDetector struct {
	// minSilence is the shortest time without an answer to any instance that counts as an outage.
	minSilence time.Duration
	// lastAnswer is the latest known answer, or the start of this instance before the first one.
	lastAnswer time.Duration
	// silentSince and returnedAt are the beginning and the end of the latest outage; returnedAt is noOutage if there was none.
	silentSince, returnedAt time.Duration
}

func newOutageDetector(heartbeat, now time.Duration) outageDetector {
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return outageDetector{minSilence: time.Duration(expirySilence * float64(heartbeat)), lastAnswer: now, silentSince: noOutage, returnedAt: noOutage}
}

// recordAnswer records when the platform answered an instance, and reports whether that changes the latest outage. Answers to other
// instances become known late, and may show that what seemed an outage was none, or ended earlier.
func (d *outageDetector) recordAnswer(at time.Duration) (changed bool) {
	switch {
	case at > d.lastAnswer:
		changed = at-d.lastAnswer >= d.minSilence
		if changed {
			d.silentSince, d.returnedAt = d.lastAnswer, at
		}
		d.lastAnswer = at
	case at <= d.silentSince || at >= d.returnedAt:
	case at-d.silentSince >= d.minSilence:
		d.returnedAt, changed = at, true
	case d.returnedAt-at >= d.minSilence:
		d.silentSince = at
	default:
		d.silentSince, d.returnedAt, changed = noOutage, noOutage, true
	}
	return changed
}

// RecordPeerAnswer records when the platform last answered another instance.
func (m *Cache) RecordPeerAnswer(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordAnswer(at)
}

// OwnAnswerAge returns how long ago the platform last answered this instance, and whether it ever did.
func (m *Cache) OwnAnswerAge() (age time.Duration, answered bool) {
	at := time.Duration(m.ownAnswer.Load())
	return m.sinceBoot() - at, at != noOutage
}

// FleetAnswerAge returns how long ago the platform last answered any instance, as far as it is known here, and whether it ever did.
func (m *Cache) FleetAnswerAge() (age time.Duration, answered bool) {
	at := time.Duration(m.fleetAnswer.Load())
	return m.sinceBoot() - at, at != noOutage
}

// recordOwnAnswer records that the platform answered this instance. m.mu is held.
func (m *Cache) recordOwnAnswer() {
	now := m.sinceBoot()
	m.ownAnswer.Store(int64(now))
	m.recordAnswer(now)
}

// recordAnswer records when the platform answered an instance. m.mu is held.
func (m *Cache) recordAnswer(at time.Duration) {
	changed := m.outage.recordAnswer(at)
	m.fleetAnswer.Store(int64(m.outage.lastAnswer))
	if !changed {
		return
	}
	if o := m.outage; o.returnedAt == noOutage {
		m.logger.Info().Str("event", "platform.was_reachable").Msg("other instances had answers; missing endpoints are gone")
	} else {
		m.logger.Warn().Str("event", "platform.returned").Dur("silent", o.returnedAt-o.silentSince).Dur("ago", m.sinceBoot()-o.returnedAt).
			Msg("no instance had answers for so long that entries may have expired")
	}
	m.shortenExpired()
}
