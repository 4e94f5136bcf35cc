package claim_test

import (
	"testing"
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/claim"
)

// Guards against the outcome "not_run" while a sender that may have run the call is unreachable.
func TestRosterSendersAlive(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	a := peer.Member{MemberID: peer.MemberID{Name: "a", Incarnation: 1}}
	b := peer.Member{MemberID: peer.MemberID{Name: "b", Incarnation: 1}}
	restarted := peer.Member{MemberID: peer.MemberID{Name: "b", Incarnation: 2}}
	removed := func(ago time.Duration) peer.Roster {
		return peer.Roster{Generation: 3, Members: []peer.Member{a, b}, LastRemovalMS: now.Add(-ago).UnixMilli()}
	}
	tests := []struct {
		name   string
		roster peer.Roster
		alive  []peer.Member
		want   bool
	}{
		{"no roster is known", peer.Roster{}, []peer.Member{a}, false},
		{"all members are alive and none was ever removed", peer.Roster{Generation: 2, Members: []peer.Member{a, b}}, []peer.Member{a, b}, true},
		{"a member is dead", peer.Roster{Generation: 2, Members: []peer.Member{a, b}}, []peer.Member{a}, false},
		{"a member was restarted and the roster contains the old incarnation", peer.Roster{Generation: 2, Members: []peer.Member{a, b}}, []peer.Member{a, restarted}, false},
		{"a member was removed within the retention of sent claims", removed(claim.SentRetention), []peer.Member{a, b}, false},
		{"a member was removed long ago", removed(2 * claim.SentRetention), []peer.Member{a, b}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := claim.RosterSendersAlive(now, test.roster, test.alive); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
