package configsync

import (
	"context"
	"encoding/json"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/fault"
)

// statusAttempts bounds the tries of one status write after version conflicts. Later polls try again.
const statusAttempts = 3

// setPendingStatus keeps the status until it is written to the platform, unless a status of a newer revision is pending. The
// caller holds mu.
func (s *Syncer) setPendingStatus(status catalogue.Status) {
	if s.status != nil && s.status.Revision > status.Revision {
		return
	}
	status.ValidatedBy = s.options.Instance
	s.status = &status
	notify(s.statusPending)
}

// retryPendingStatus triggers another write if a status is still pending.
func (s *Syncer) retryPendingStatus() {
	if s.pendingStatus() != nil {
		notify(s.statusPending)
	}
}

func (s *Syncer) pendingStatus() *catalogue.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// writeStatus writes the pending status unless another instance has already written one for the revision. It reads before each
// write, so a lost reply or a conflict never leads to a second write of the same status.
func (s *Syncer) writeStatus(ctx context.Context) {
	for range statusAttempts {
		pending := s.pendingStatus()
		if pending == nil {
			return
		}
		done, again := s.tryWriteStatus(ctx, *pending)
		if done {
			s.clearPendingStatus(pending)
		}
		if !again {
			return
		}
	}
}

// tryWriteStatus makes one attempt. again is true after a conflict, since the other writer may have written the status of an
// older revision.
func (s *Syncer) tryWriteStatus(ctx context.Context, status catalogue.Status) (done, again bool) {
	present, version, err := s.readStatus(ctx)
	if err != nil {
		return false, false
	}
	if version > 0 && present.Revision >= status.Revision {
		return true, false
	}
	value, err := json.Marshal(status)
	if err != nil {
		return true, false // unreachable: the status holds only strings and numbers
	}
	if version == 0 {
		_, err = s.options.Platform.Create(ctx, platform.KindCatalogueStatus, platform.SingletonName, value)
	} else {
		_, err = s.options.Platform.Replace(ctx, platform.KindCatalogueStatus, platform.SingletonName, version, value)
	}
	if err == nil {
		s.counters.statusWritten.Inc(1)
	}
	return err == nil, fault.Is(err, fault.Conflict)
}

// readStatus returns version 0 if there is no status yet.
func (s *Syncer) readStatus(ctx context.Context) (catalogue.Status, uint64, error) {
	var status catalogue.Status
	o, err := s.options.Platform.Get(ctx, platform.KindCatalogueStatus, platform.SingletonName)
	if fault.Is(err, fault.NotFound) {
		return status, 0, nil
	}
	if err != nil {
		return status, 0, err
	}
	if json.Unmarshal(o.Value, &status) != nil {
		status = catalogue.Status{} // not valid JSON of a status, so not written by a router; the next status replaces it
	}
	return status, o.Version, nil
}

// clearPendingStatus drops the written status unless a newer one has become pending.
func (s *Syncer) clearPendingStatus(written *catalogue.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == written {
		s.status = nil
	}
}
