package configsync

import (
	"context"
	"encoding/json"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/fault"
)

// statusAttempts bounds the conflicts that one attempt to write the status takes; later polls try again.
const statusAttempts = 3

// report keeps the status until it is at the platform, unless that of a newer revision is kept. The caller holds mu.
func (s *Syncer) report(status catalogue.Status) {
	if s.status != nil && s.status.Revision > status.Revision {
		return
	}
	status.JudgedBy = s.options.Instance
	s.status = &status
	notify(s.judged)
}

// retryStatus starts another attempt if the last one failed.
func (s *Syncer) retryStatus() {
	if s.pendingStatus() != nil {
		notify(s.judged)
	}
}

func (s *Syncer) pendingStatus() *catalogue.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// writeStatus writes the pending status unless another instance has already judged the revision. It reads before each
// write, so a lost reply or a conflict never leads to a second write of the same status.
func (s *Syncer) writeStatus(ctx context.Context) {
	for range statusAttempts {
		pending := s.pendingStatus()
		if pending == nil {
			return
		}
		done, again := s.tryStatus(ctx, *pending)
		if done {
			s.clearStatus(pending)
		}
		if !again {
			return
		}
	}
}

// tryStatus makes one attempt. again is true after a conflict: the winner may have written an older revision.
func (s *Syncer) tryStatus(ctx context.Context, status catalogue.Status) (done, again bool) {
	present, version, err := s.readStatus(ctx)
	if err != nil {
		return false, false
	}
	if version > 0 && present.Revision >= status.Revision {
		return true, false
	}
	value, err := json.Marshal(status)
	if err != nil {
		return true, false // not reached: the status holds only texts and numbers
	}
	if version == 0 {
		_, err = s.options.Platform.Create(ctx, platform.KindCatalogueStatus, platform.MainName, value)
	} else {
		_, err = s.options.Platform.Replace(ctx, platform.KindCatalogueStatus, platform.MainName, version, value)
	}
	if err == nil {
		s.counters.statusWritten.Inc(1)
	}
	return err == nil, fault.Is(err, fault.Conflict)
}

// readStatus returns version 0 if there is no status yet.
func (s *Syncer) readStatus(ctx context.Context) (catalogue.Status, uint64, error) {
	var status catalogue.Status
	o, err := s.options.Platform.Get(ctx, platform.KindCatalogueStatus, platform.MainName)
	if fault.Is(err, fault.NotFound) {
		return status, 0, nil
	}
	if err != nil {
		return status, 0, err
	}
	if json.Unmarshal(o.Value, &status) != nil {
		status = catalogue.Status{} // not written by a router; the next status replaces it
	}
	return status, o.Version, nil
}

// clearStatus drops the status unless a newer one has become pending.
func (s *Syncer) clearStatus(written *catalogue.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == written {
		s.status = nil
	}
}
