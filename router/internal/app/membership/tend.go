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

// backupRemoverDelay is how much longer others wait before they remove a member in place of the one chosen for it.
const backupRemoverDelay = 2 * time.Second

// tend keeps the roster in order: it joins, and removes members that are dead.
func (s *Service) tend(ctx context.Context) time.Duration {
	if s.left.Load() {
		return rosterPeriod
	}
	s.mu.Lock()
	named, superseded := s.chain.Contains(s.settings.Self.MemberID), s.superseded
	s.mu.Unlock()
	switch {
	case superseded:
	case !named:
		if s.writeRoster(ctx, s.joinChange) != nil {
			return s.jitter(confirmRetry)
		}
	default:
		s.removeDead(ctx)
	}
	return s.jitter(rosterPeriod)
}

// writeRoster reads the roster, lets change decide what to do about it, and writes the next generation. A conflict or an
// unknown outcome is an error; the next attempt reads again and sees what holds.
func (s *Service) writeRoster(ctx context.Context, change func() (peer.RosterChange, bool)) error {
	if _, err := s.reader.after(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	c, needed := change()
	next, version := s.chain.Next(c), s.stored.version
	current := s.stored.generation == s.chain.Generation()
	s.mu.Unlock()
	if !needed {
		return nil
	}
	if len(c.Removed) > 0 {
		next.LastRemovalMS = s.Clock.Now().UnixMilli()
	}
	if !current {
		return fault.New(fault.Conflict, "a newer roster was learned from a peer; read it again")
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > platform.MaxValueBytes {
		return fault.New(fault.TooLarge, "roster exceeds the size of a platform object; wait until older generations are out of use")
	}
	return s.store(ctx, next, version, value)
}

func (s *Service) store(ctx context.Context, next peer.Roster, version uint64, value json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	if version == 0 {
		version, err = s.Platform.Create(ctx, platform.KindRoster, platform.MainName, value)
	} else {
		version, err = s.Platform.Replace(ctx, platform.KindRoster, platform.MainName, version, value)
	}
	if err != nil {
		s.count.conflicts.Inc(1)
		return err
	}
	s.count.written.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.stored.version {
		s.stored = stored{version: version, generation: next.Generation}
	}
	s.adopt(next)
	return nil
}

// joinChange adds this instance in place of its lower incarnations. The caller holds mu.
func (s *Service) joinChange() (peer.RosterChange, bool) {
	self := s.settings.Self
	change := peer.RosterChange{Added: []peer.Member{self}}
	for _, m := range s.chain.Members() {
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

// leaveChange removes this instance. The caller holds mu.
func (s *Service) leaveChange() (peer.RosterChange, bool) {
	if !s.chain.Contains(s.settings.Self.MemberID) {
		return peer.RosterChange{}, false
	}
	self := s.settings.Self
	return peer.RosterChange{Removed: []peer.Member{self}, Left: []peer.MemberID{self.MemberID}}, true
}

// removeDead removes the members that a majority agrees about, and those that the platform no longer lists.
func (s *Service) removeDead(ctx context.Context) {
	generation, silent, heard := s.silentMembers()
	if len(silent) == 0 {
		return
	}
	absent := s.absentMembers(ctx, silent)
	// An instance that is cut off hears nobody. Without this check it would ask everybody about everybody.
	majorityHeard := roster.IsMajority(len(heard)+1, len(s.others())+1)
	var change peer.RosterChange
	for _, m := range silent {
		switch {
		case absent[m.MemberID]:
			change.Removed = append(change.Removed, m)
			change.Absent = append(change.Absent, m.MemberID)
		case majorityHeard && s.isRemover(m) && s.majorityAgrees(ctx, generation, m, heard):
			change.Removed = append(change.Removed, m)
		}
	}
	if len(change.Removed) == 0 {
		return
	}
	err := s.writeRoster(ctx, func() (peer.RosterChange, bool) { return change, s.chain.Generation() == generation })
	if err == nil {
		s.count.removed.Inc(int64(len(change.Removed)))
	}
}

// silentMembers lists the other members of the newest roster that were not heard for long enough, and those that live.
// Some are neither: a cut-off instance would otherwise count those as heard whose silence is a little shorter.
func (s *Service) silentMembers() (generation uint64, silent, heard []peer.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Boot()
	for _, m := range s.chain.Members() {
		silence := s.table.TimeSinceHeartbeat(now, m.MemberID)
		switch {
		case m.MemberID == s.settings.Self.MemberID:
		case silence >= roster.RemovalTimeout:
			silent = append(silent, m)
		case silence < roster.HeartbeatTimeout:
			heard = append(heard, m)
		}
	}
	return s.chain.Generation(), silent, heard
}

// isRemover keeps all instances from asking all others about the same member at once.
func (s *Service) isRemover(m peer.Member) bool {
	if _, chosen := s.Owner("removal/" + m.Name); chosen {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TimeSinceHeartbeat(s.Clock.Boot(), m.MemberID) >= roster.RemovalTimeout+backupRemoverDelay
}

// majorityAgrees asks the members that are heard for the votes that R2 demands.
func (s *Service) majorityAgrees(ctx context.Context, generation uint64, m peer.Member, heard []peer.Member) bool {
	request := peer.RemovalRequest{From: s.settings.Self.MemberID, Request: s.requests.Add(1), Generation: generation, Remove: m.MemberID}
	own, err := s.ReceiveRemoval(ctx, request)
	if err != nil || !own.Agreed {
		return false
	}
	votes := make(chan bool, len(heard))
	for _, other := range heard {
		s.loops.Go(func() {
			reply, err := s.Peers.AgreeRemoval(ctx, other.Address, request)
			votes <- err == nil && reply.Agreed && reply.Request == request.Request
		})
	}
	all, agreed := len(s.others())+1, 1
	for range heard {
		if <-votes {
			agreed++
		}
		if roster.IsMajority(agreed, all) {
			return true
		}
	}
	return false
}

// ReceiveRemoval votes on removing a member.
func (s *Service) ReceiveRemoval(_ context.Context, m peer.RemovalRequest) (peer.RemovalReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.votes.VoteOnRemoval(s.Clock.Boot(), &s.chain, s.table, s.settings.Self.MemberID, m)
	reply.Request = m.Request
	if reply.Agreed {
		s.count.agreed.Inc(1)
	} else {
		s.count.refused.Inc(1)
	}
	return reply, nil
}

// absentMembers tells which of the silent members have been absent from the platform's instance list for long enough.
// A member counts as present only with its address, because its name may have passed to another machine.
func (s *Service) absentMembers(ctx context.Context, silent []peer.Member) map[peer.MemberID]bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	instances, err := s.Platform.Instances(ctx)
	if err != nil {
		return nil // an old list cannot tell who is absent now
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
		first, noted := s.absent[m.MemberID]
		if !noted {
			first = now
		}
		since[m.MemberID] = first
		absent[m.MemberID] = now-first >= roster.AbsenceTimeout
	}
	s.absent = since
	return absent
}
