package membership

import (
	"context"
	"encoding/json"
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/roster"
	"tanagerwood.dev/router/internal/fault"
)

// backupRemoverDelay is how much longer the other members wait before they remove a silent member, in case the member
// responsible for it does not.
const backupRemoverDelay = 2 * time.Second

// maintainRoster adds this instance to the roster if it is missing, and otherwise removes dead members. It returns the delay
// until the next run.
func (s *Service) maintainRoster(ctx context.Context) time.Duration {
	if s.left.Load() {
		return rosterInterval
	}
	s.mu.Lock()
	named, superseded := s.history.Contains(s.settings.Self.MemberID), s.superseded
	s.mu.Unlock()
	switch {
	case superseded:
	case !named:
		if s.updateRoster(ctx, s.joinChange) != nil {
			return s.jitter(retryDelay)
		}
	default:
		s.removeDeadMembers(ctx)
	}
	return s.jitter(rosterInterval)
}

// updateRoster reads the roster, asks change for the change to apply, if any is needed, and writes the next generation. A
// write conflict or an unknown outcome is an error; the next attempt reads the roster again and finds the actual state.
func (s *Service) updateRoster(ctx context.Context, change func() (peer.RosterChange, bool)) error {
	if _, err := s.rosterReader.readFresh(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	c, needed := change()
	next, version := s.history.Next(c), s.platformRoster.version
	upToDate := s.platformRoster.generation == s.history.Generation()
	s.mu.Unlock()
	if !needed {
		return nil
	}
	if len(c.Removed) > 0 {
		next.LastRemovalMS = s.Clock.Now().UnixMilli()
	}
	if !upToDate {
		return fault.New(fault.Conflict, "a newer roster was learned from a peer; read it again")
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > platform.MaxValueBytes {
		return fault.New(fault.TooLarge, "roster exceeds the size of a platform object; wait until older generations are out of use")
	}
	return s.storeRoster(ctx, next, version, value)
}

func (s *Service) storeRoster(ctx context.Context, next peer.Roster, version uint64, value json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, platformWriteTimeout)
	defer cancel()
	var err error
	if version == 0 {
		version, err = s.Platform.Create(ctx, platform.KindRoster, platform.SingletonName, value)
	} else {
		version, err = s.Platform.Replace(ctx, platform.KindRoster, platform.SingletonName, version, value)
	}
	if err != nil {
		s.counters.rosterConflicts.Inc(1)
		return err
	}
	s.counters.rosterWrites.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.platformRoster.version {
		s.platformRoster = platformRoster{version: version, generation: next.Generation}
	}
	s.adoptRoster(next)
	return nil
}

// joinChange returns the change that adds this instance and removes its lower incarnations. It sets superseded if a higher
// incarnation is in the roster. The caller must hold mu.
func (s *Service) joinChange() (peer.RosterChange, bool) {
	self := s.settings.Self
	change := peer.RosterChange{Added: []peer.Member{self}}
	for _, m := range s.history.Members() {
		switch {
		case m.Name != self.Name:
		case m.Incarnation >= self.Incarnation:
			s.superseded = m.Incarnation > self.Incarnation
			return peer.RosterChange{}, false
		default:
			change.Removed = append(change.Removed, m)
		}
	}
	return change, true
}

// leaveChange returns the change that removes this instance. The caller must hold mu.
func (s *Service) leaveChange() (peer.RosterChange, bool) {
	if !s.history.Contains(s.settings.Self.MemberID) {
		return peer.RosterChange{}, false
	}
	self := s.settings.Self
	return peer.RosterChange{Removed: []peer.Member{self}, Left: []peer.MemberID{self.MemberID}}, true
}

// removeDeadMembers removes the silent members whose removal a majority agrees to, and those that are absent from the platform's
// instance list.
func (s *Service) removeDeadMembers(ctx context.Context) {
	generation, silent, heard := s.silentMembers()
	if len(silent) == 0 {
		return
	}
	absent := s.absentMembers(ctx, silent)
	// An isolated instance receives no heartbeats. Without this check it would request the removal of every other member.
	majorityHeard := roster.IsMajority(len(heard)+1, len(s.otherMembers())+1)
	var change peer.RosterChange
	for _, m := range silent {
		switch {
		case absent[m.MemberID]:
			change.Removed = append(change.Removed, m)
			change.Absent = append(change.Absent, m.MemberID)
		case majorityHeard && s.shouldRequestRemoval(m) && s.majorityAgrees(ctx, generation, m, heard):
			change.Removed = append(change.Removed, m)
		}
	}
	if len(change.Removed) == 0 {
		return
	}
	err := s.updateRoster(ctx, func() (peer.RosterChange, bool) { return change, s.history.Generation() == generation })
	if err == nil {
		s.counters.membersRemoved.Inc(int64(len(change.Removed)))
	}
}

// silentMembers lists the other members of the newest roster that have sent no heartbeat for RemovalTimeout, and those heard
// within HeartbeatTimeout. Members in between are in neither list. If they counted as heard, an instance that was just isolated
// would count members as heard whose silence is only a little shorter.
func (s *Service) silentMembers() (generation uint64, silent, heard []peer.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Boot()
	for _, m := range s.history.Members() {
		silence := s.table.TimeSinceHeartbeat(now, m.MemberID)
		switch {
		case m.MemberID == s.settings.Self.MemberID:
		case silence >= roster.RemovalTimeout:
			silent = append(silent, m)
		case silence < roster.HeartbeatTimeout:
			heard = append(heard, m)
		}
	}
	return s.history.Generation(), silent, heard
}

// shouldRequestRemoval reports whether this instance should request votes on removing the member: it is the one that rendezvous
// hashing chooses, or the member has been silent for backupRemoverDelay longer. This keeps the instances from all requesting the
// same votes at once.
func (s *Service) shouldRequestRemoval(m peer.Member) bool {
	if _, chosen := s.Owner("removal/" + m.Name); chosen {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TimeSinceHeartbeat(s.Clock.Boot(), m.MemberID) >= roster.RemovalTimeout+backupRemoverDelay
}

// majorityAgrees asks the heard members to vote on a removal and reports whether a strict majority of the roster agrees (rule R2
// of package roster).
func (s *Service) majorityAgrees(ctx context.Context, generation uint64, m peer.Member, heard []peer.Member) bool {
	request := peer.RemovalRequest{From: s.settings.Self.MemberID, Request: s.lastRequestID.Add(1), Generation: generation, Remove: m.MemberID}
	own, err := s.ReceiveRemoval(ctx, request)
	if err != nil || !own.Agreed {
		return false
	}
	votes := make(chan bool, len(heard))
	for _, other := range heard {
		s.goroutines.Go(func() {
			reply, err := s.Peers.AgreeRemoval(ctx, other.Address, request)
			votes <- err == nil && reply.Agreed && reply.Request == request.Request
		})
	}
	total, agreed := len(s.otherMembers())+1, 1
	for range heard {
		if <-votes {
			agreed++
		}
		if roster.IsMajority(agreed, total) {
			return true
		}
	}
	return false
}

// ReceiveRemoval votes on removing a member.
func (s *Service) ReceiveRemoval(_ context.Context, m peer.RemovalRequest) (peer.RemovalReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.votes.VoteOnRemoval(s.Clock.Boot(), &s.history, s.table, s.settings.Self.MemberID, m)
	reply.Request = m.Request
	if reply.Agreed {
		s.counters.removalsAgreed.Inc(1)
	} else {
		s.counters.removalsRefused.Inc(1)
	}
	return reply, nil
}

// absentMembers returns the silent members that have been absent from the platform's instance list for AbsenceTimeout. A member
// counts as present only if its address matches, because its name may have passed to another machine.
func (s *Service) absentMembers(ctx context.Context, silent []peer.Member) map[peer.MemberID]bool {
	ctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	instances, err := s.Platform.Instances(ctx)
	if err != nil {
		return nil // without a current list no member counts as absent
	}
	listed := make(map[string]string)
	for _, i := range instances {
		if i.Role == platform.RoleRouter {
			listed[i.Name] = i.URL
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Boot()
	since := make(map[peer.MemberID]time.Duration, len(silent))
	absent := make(map[peer.MemberID]bool)
	for _, m := range silent {
		if listed[m.Name] == m.Address {
			continue
		}
		firstAbsent, known := s.absentSince[m.MemberID]
		if !known {
			firstAbsent = now
		}
		since[m.MemberID] = firstAbsent
		absent[m.MemberID] = now-firstAbsent >= roster.AbsenceTimeout
	}
	s.absentSince = since
	return absent
}
