package membership

import "tanagerwood.dev/api/peer"

// Roster returns the newest roster that this instance knows.
func (s *Service) Roster() peer.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Newest()
}
