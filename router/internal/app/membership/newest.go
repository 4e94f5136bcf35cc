package membership

import "tanagerwood.dev/api/peer"

// Roster is the newest roster known here.
func (s *Service) Roster() peer.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain.Newest()
}
