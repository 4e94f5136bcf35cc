package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/roster"
	"tanagerwood.dev/router/internal/fault"
)

// renewConfirmation obtains a confirmation that this instance may use its shares (rule R1 of package roster), from the platform
// or else from the peers. It returns the delay until the next attempt.
func (s *Service) renewConfirmation(ctx context.Context) time.Duration {
	if s.left.Load() {
		return confirmationInterval
	}
	sent := s.Clock.Boot()
	generation, err := s.rosterReader.readFresh(ctx)
	if err == nil {
		if s.recordConfirmation(sent, generation) {
			return s.jitter(confirmationInterval)
		}
		return s.jitter(retryDelay)
	}
	if s.confirmByPeers(ctx, sent) {
		s.counters.confirmedByPeers.Inc(1)
		return s.jitter(confirmationInterval)
	}
	s.counters.confirmationsFailed.Inc(1)
	return s.jitter(retryDelay)
}

// recordConfirmation records a confirmation for a roster generation. Its validity counts from sent, when it was requested. It
// reports false, and records nothing, if a newer generation has become known since.
func (s *Service) recordConfirmation(sent time.Duration, generation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != s.history.Generation() || !s.history.Contains(s.settings.Self.MemberID) || s.left.Load() {
		return false
	}
	until := int64(sent + roster.ConfirmationValidity)
	if until > s.confirmedUntil.Load() {
		s.confirmedUntil.Store(until)
	}
	s.counters.confirmed.Inc(1)
	s.recordConfirmationChange()
	return true
}

// readRoster reads the roster from the platform, adopts it, and returns its generation.
func (s *Service) readRoster(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	known := s.platformRoster
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	object, changed, err := s.Platform.GetNewer(ctx, platform.KindRoster, platform.SingletonName, known.version)
	switch {
	case fault.Is(err, fault.NotFound) && known.version == 0:
		return 0, nil // the first instance of the fleet creates the roster
	case err != nil:
		return 0, err
	case !changed:
		return known.generation, nil
	}
	return s.adoptObject(object)
}

func (s *Service) adoptObject(object platform.Object) (uint64, error) {
	var r peer.Roster
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return 0, fault.Wrap(err, fault.Internal, openai.NotRun, "roster in the platform is malformed; delete the object roster/main while no instance runs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformRoster = platformRoster{version: object.Version, generation: r.Generation}
	s.adoptRoster(r)
	return r.Generation, nil
}

// confirmByPeers asks the members of the newest roster for a confirmation. One reply of a peer that has read the roster from
// the platform suffices. Otherwise a strict majority, this instance included, must confirm.
func (s *Service) confirmByPeers(ctx context.Context, sent time.Duration) bool {
	generation := s.RosterGeneration()
	others := s.otherMembers()
	request := peer.ConfirmRequest{From: s.settings.Self.MemberID, Request: s.lastRequestID.Add(1), Generation: generation}
	replies := make(chan *peer.ConfirmReply, len(others))
	for _, m := range others {
		s.goroutines.Go(func() {
			reply, err := s.Peers.Confirm(ctx, m.Address, request)
			if err != nil || reply.Request != request.Request {
				replies <- nil
				return
			}
			replies <- &reply
		})
	}
	confirming := 1
	for range others {
		if roster.IsMajority(confirming, len(others)+1) {
			break
		}
		reply := <-replies
		switch {
		case reply == nil:
		case reply.Roster.Generation > generation:
			s.mu.Lock()
			s.adoptFromPeer(reply.Roster)
			s.mu.Unlock()
			return false
		case reply.Roster.Generation < generation || !reply.IsMember:
		case reply.Platform:
			return s.recordConfirmation(sent, generation)
		default:
			confirming++
		}
	}
	return roster.IsMajority(confirming, len(others)+1) && s.recordConfirmation(sent, generation)
}

// ReceiveConfirm replies whether a peer may go on using its shares.
func (s *Service) ReceiveConfirm(ctx context.Context, m peer.ConfirmRequest) (peer.ConfirmReply, error) {
	_, err := s.rosterReader.readFreshUnlessFailing(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := peer.ConfirmReply{
		Request:  m.Request,
		Platform: err == nil && s.platformRoster.generation == s.history.Generation(),
		Roster:   s.rosterNewerThan(m.Generation),
	}
	if reply.Platform {
		reply.IsMember = s.history.Contains(m.From)
	} else {
		reply.IsMember = s.votes.MayConfirm(&s.history, s.settings.Self.MemberID, m.From)
	}
	return reply, nil
}

// recentFailureWindow is how long the platform counts as unreachable after a failed read. Without it every confirmation
// request of a peer would wait for one more read during an outage.
const recentFailureWindow = time.Second

// rosterReader coalesces concurrent reads of the roster. A caller gets the result of a read that began after its call.
type rosterReader struct {
	read func(context.Context) (uint64, error)

	mu        sync.Mutex
	current   *rosterRead
	next      *rosterRead
	lastErr   error
	lastErrAt time.Time
}

type rosterRead struct {
	done       chan struct{}
	generation uint64
	err        error
}

// readFresh returns the result of a read that begins now or later, and never that of a read already in progress.
func (r *rosterReader) readFresh(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	call := r.next
	if call == nil {
		call = &rosterRead{done: make(chan struct{})}
		if r.current == nil {
			r.current = call
			go r.runReads(call)
		} else {
			r.next = call
		}
	}
	r.mu.Unlock()
	select {
	case <-call.done:
		return call.generation, call.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// readFreshUnlessFailing is like readFresh, but if the last read failed within recentFailureWindow it returns that error.
func (r *rosterReader) readFreshUnlessFailing(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	err := r.lastErr
	recent := time.Since(r.lastErrAt) < recentFailureWindow
	r.mu.Unlock()
	if err != nil && recent {
		return 0, err
	}
	return r.readFresh(ctx)
}

// lastReadFailed reports whether the last read failed.
func (r *rosterReader) lastReadFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErr != nil
}

// runReads performs a read, and then the next one as long as callers are waiting for it. Reads do not use a caller's context,
// because a caller that is cancelled must not fail the read for the others.
func (r *rosterReader) runReads(call *rosterRead) {
	for call != nil {
		call.generation, call.err = r.read(context.Background())
		r.mu.Lock()
		r.lastErr, r.lastErrAt = call.err, time.Now()
		r.current, r.next = r.next, nil
		next := r.current
		r.mu.Unlock()
		close(call.done)
		call = next
	}
}
