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

// renew obtains a confirmation (R1) and returns when to do so again.
func (s *Service) renew(ctx context.Context) time.Duration {
	if s.left.Load() {
		return confirmPeriod
	}
	sent := s.Clock.Boot()
	generation, err := s.reader.after(ctx)
	if err == nil {
		if s.confirm(sent, generation) {
			return s.jitter(confirmPeriod)
		}
		return s.jitter(confirmRetry)
	}
	if s.confirmByPeers(ctx, sent) {
		s.count.confirmedByPeers.Inc(1)
		return s.jitter(confirmPeriod)
	}
	s.count.confirmFailed.Inc(1)
	return s.jitter(confirmRetry)
}

// confirm notes a confirmation that was asked for at the time sent and was given for a generation. It is void if a newer
// generation has become known meanwhile.
func (s *Service) confirm(sent time.Duration, generation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != s.chain.Generation() || !s.chain.Contains(s.settings.Self.MemberID) || s.left.Load() {
		return false
	}
	until := int64(sent + roster.ConfirmationValidity)
	if until > s.confirmedUntil.Load() {
		s.confirmedUntil.Store(until)
	}
	s.count.confirmed.Inc(1)
	s.noteConfirmation()
	return true
}

// readRoster reads the roster from the platform, adopts it, and returns its generation.
func (s *Service) readRoster(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	known := s.stored
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	object, changed, err := s.Platform.GetNewer(ctx, platform.KindRoster, platform.MainName, known.version)
	switch {
	case fault.Is(err, fault.NotFound) && known.version == 0:
		return 0, nil // the first instance of the fleet creates it
	case err != nil:
		return 0, err
	case !changed:
		return known.generation, nil
	}
	return s.takeObject(object)
}

func (s *Service) takeObject(object platform.Object) (uint64, error) {
	var r peer.Roster
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return 0, fault.Wrap(err, fault.Internal, openai.NotRun, "roster in the platform is malformed; delete the object roster/main while no instance runs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = stored{version: object.Version, generation: r.Generation}
	s.adopt(r)
	return r.Generation, nil
}

// confirmByPeers asks the members of the newest roster. One answer based on the platform suffices; otherwise a strict
// majority, this instance included, must vouch for it.
func (s *Service) confirmByPeers(ctx context.Context, sent time.Duration) bool {
	generation := s.RosterGeneration()
	others := s.others()
	request := peer.ConfirmRequest{From: s.settings.Self.MemberID, Request: s.requests.Add(1), Generation: generation}
	replies := make(chan *peer.ConfirmReply, len(others))
	for _, m := range others {
		s.loops.Go(func() {
			reply, err := s.Peers.Confirm(ctx, m.Address, request)
			if err != nil || reply.Request != request.Request {
				replies <- nil
				return
			}
			replies <- &reply
		})
	}
	vouching := 1
	for range others {
		if roster.IsMajority(vouching, len(others)+1) {
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
		case reply.Roster.Generation < generation || !reply.Named:
		case reply.Platform:
			return s.confirm(sent, generation)
		default:
			vouching++
		}
	}
	return roster.IsMajority(vouching, len(others)+1) && s.confirm(sent, generation)
}

// ReceiveConfirm answers whether a peer may go on using its shares.
func (s *Service) ReceiveConfirm(ctx context.Context, m peer.ConfirmRequest) (peer.ConfirmReply, error) {
	_, err := s.reader.afterUnlessDown(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := peer.ConfirmReply{
		Request:  m.Request,
		Platform: err == nil && s.stored.generation == s.chain.Generation(),
		Roster:   s.rosterFor(m.Generation),
	}
	if reply.Platform {
		reply.Named = s.chain.Contains(m.From)
	} else {
		reply.Named = s.votes.MayConfirm(&s.chain, s.settings.Self.MemberID, m.From)
	}
	return reply, nil
}

// recentFailure is how long a failed read tells that the platform cannot be reached, so that an outage does not make
// every question of a peer wait for one more read.
const recentFailure = time.Second

// reader shares reads of the roster between callers. A caller gets the result of a read that began after its call.
type reader struct {
	read func(context.Context) (uint64, error)

	mu       sync.Mutex
	running  *reading
	next     *reading
	failed   error
	failedAt time.Time
}

type reading struct {
	done       chan struct{}
	generation uint64
	err        error
}

// after returns the result of a read that begins now or later.
func (r *reader) after(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	call := r.next
	if call == nil {
		call = &reading{done: make(chan struct{})}
		if r.running == nil {
			r.running = call
			go r.run(call)
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

// afterUnlessDown is after, but returns a recent failure at once.
func (r *reader) afterUnlessDown(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	err := r.failed
	recent := time.Since(r.failedAt) < recentFailure
	r.mu.Unlock()
	if err != nil && recent {
		return 0, err
	}
	return r.after(ctx)
}

// down reports whether the last read failed.
func (r *reader) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed != nil
}

// run reads, and goes on with the read that callers wait for meanwhile. Reads have their own timeout, because one
// caller's end must not fail the others.
func (r *reader) run(call *reading) {
	for call != nil {
		call.generation, call.err = r.read(context.Background())
		r.mu.Lock()
		r.failed, r.failedAt = call.err, time.Now()
		r.running, r.next = r.next, nil
		following := r.running
		r.mu.Unlock()
		close(call.done)
		call = following
	}
}
