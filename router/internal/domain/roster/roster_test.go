package roster

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/quota"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

const second = time.Second

func member(name string, incarnation uint64) peer.Member {
	return peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: incarnation}, Address: "http://" + name}
}

func entry(m peer.Member, counter, generation uint64) peer.HeartbeatEntry {
	return peer.HeartbeatEntry{Member: m, Counter: counter, RosterGeneration: generation}
}

var a, b, c, d = member("a", 1), member("b", 1), member("c", 1), member("d", 1)

// grown returns a chain that adopted the first roster and then the steps.
func grown(first []peer.Member, steps ...peer.RosterChange) *History {
	chain := &History{}
	chain.Adopt(peer.Roster{Generation: 1, Members: first})
	for _, s := range steps {
		chain.Adopt(chain.Next(s))
	}
	return chain
}

func knowing(members ...peer.Member) func(peer.Member, uint64) bool {
	return func(m peer.Member, _ uint64) bool { return names(members, m.MemberID) }
}

var _ = Describe("Chain", func() {
	It("uses the first roster at once", func() {
		Expect(grown([]peer.Member{a}).ActiveRosters()).To(Equal([][]peer.Member{{a}}))
	})

	It("keeps an older roster in use until ReuseDelay after a majority knows a newer one", func() {
		chain := grown([]peer.Member{a, b, c}, peer.RosterChange{Removed: []peer.Member{c}})
		Expect(chain.RetireRosters(0, knowing(a))).To(BeFalse())
		Expect(chain.RetireRosters(10*second, knowing(a, b))).To(BeFalse())
		Expect(chain.RetireRosters(10*second+RosterRetireDelay-1, knowing())).To(BeFalse())
		Expect(chain.RetireRosters(10*second+RosterRetireDelay, knowing())).To(BeTrue())
		Expect(chain.ActiveRosters()).To(Equal([][]peer.Member{{a, b}}))
	})

	It("does not count members that were absent from the instance list", func() {
		chain := grown([]peer.Member{a, b, c}, peer.RosterChange{Added: []peer.Member{d}, Removed: []peer.Member{a, b, c},
			Absent: []peer.MemberID{a.MemberID, b.MemberID, c.MemberID}})
		chain.RetireRosters(0, knowing(d))
		Expect(chain.RetireRosters(RosterRetireDelay, knowing(d))).To(BeTrue())
	})

	It("counts generations that a reader skipped, because their members may still be confirmed", func() {
		writer := grown([]peer.Member{a, b}, peer.RosterChange{Added: []peer.Member{c}}, peer.RosterChange{Removed: []peer.Member{a}}, peer.RosterChange{Added: []peer.Member{a}})
		reader := grown([]peer.Member{a, b})
		Expect(reader.Adopt(writer.Newest())).To(Equal(AdoptResult{Adopted: true}))
		Expect(reader.ActiveRosters()).To(HaveExactElements(ConsistOf(a, b), ConsistOf(a, b, c), ConsistOf(b, c), ConsistOf(a, b, c)))
		Expect((*ViewHistory)(nil).Append(0, false, reader.ActiveRosters()).Newest().Share(quota.Limits{Rate: 1, Burst: 1}, "x", a.MemberID)).To(BeZero())
	})

	It("reports a gap if generations are missing between the known and the adopted one", func() {
		chain := grown([]peer.Member{a})
		Expect(chain.Adopt(peer.Roster{Generation: 5, Members: []peer.Member{a}})).To(Equal(AdoptResult{Adopted: true, Gap: true}))
	})

	It("drops what the writer has ruled out", func() {
		chain := grown([]peer.Member{a}, peer.RosterChange{Added: []peer.Member{b}}, peer.RosterChange{Added: []peer.Member{c}})
		chain.Adopt(peer.Roster{Generation: 4, Members: []peer.Member{a, b, c, d}, Changes: []peer.RosterChange{{Added: []peer.Member{d}}}})
		Expect(chain.ActiveRosters()).To(Equal([][]peer.Member{{a, b, c}, {a, b, c, d}}))
	})

	DescribeTable("ignores", func(r peer.Roster) {
		Expect(grown([]peer.Member{a}, peer.RosterChange{}).Adopt(r).Adopted).To(BeFalse())
	},
		Entry("an older roster", peer.Roster{Generation: 1}),
		Entry("an equal roster", peer.Roster{Generation: 2, Members: []peer.Member{b}}),
		Entry("more changes than generations", peer.Roster{Generation: 3, Changes: make([]peer.RosterChange, 3)}),
	)
})

var _ = Describe("Table", func() {
	var t *HeartbeatTable
	BeforeEach(func() { t = NewTable(0, a) })

	It("takes a member for dead 3 s after its counter grew last, whatever is repeated about it", func() {
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 5, 1)})
		t.Merge(2*second, []peer.HeartbeatEntry{entry(b, 5, 1)})
		Expect(t.LiveMembers(3*second-1, nil).IsAlive(b.MemberID)).To(BeTrue())
		Expect(t.LiveMembers(3*second, nil).IsAlive(b.MemberID)).To(BeFalse())
	})

	It("lets a greater incarnation replace a lower one at once, and never the other way", func() {
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 50, 1)})
		t.Merge(0, []peer.HeartbeatEntry{entry(member("b", 2), 1, 1)})
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 60, 1)})
		Expect(t.LiveMembers(0, nil).IsAlive(b.MemberID)).To(BeFalse())
		Expect(t.LiveMembers(0, nil).IsAlive(member("b", 2).MemberID)).To(BeTrue())
	})

	It("counts the silence of a member that was never heard from when it became known", func() {
		t.AddMembers(4*second, []peer.Member{b})
		Expect(t.TimeSinceHeartbeat(6*second, b.MemberID)).To(Equal(2 * second))
		Expect(t.LiveMembers(4*second, nil).IsAlive(b.MemberID)).To(BeFalse())
	})

	It("takes a new incarnation for the end of the old one only at the same address", func() {
		moved := member("b", 2)
		moved.Address = "http://elsewhere"
		t.Merge(0, []peer.HeartbeatEntry{entry(moved, 1, 9)})
		Expect(t.HasGeneration(b, 9)).To(BeFalse())
		t.Merge(0, []peer.HeartbeatEntry{entry(member("c", 2), 1, 9)})
		Expect(t.HasGeneration(c, 9)).To(BeTrue())
	})

	It("does not pass on members that are gone", func() {
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 5, 1)})
		t.UpdateSelf(gossipFor, 1, 1, false)
		Expect(t.RecentEntries(gossipFor)).To(ConsistOf(HaveField("Name", "a")))
		t.PruneSilent(forgetAfter, func(peer.MemberID) bool { return false })
		Expect(t.LiveMembers(0, nil).Members).To(HaveLen(1))
	})
})

var _ = Describe("compact heartbeats", func() {
	members := []peer.Member{a, b, c}
	var t, other *HeartbeatTable
	BeforeEach(func() {
		t, other = NewTable(0, a), NewTable(0, c)
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 250, 1)})
		other.Merge(0, []peer.HeartbeatEntry{entry(b, 260, 1)})
	})

	It("carries a counter past the modulus", func() {
		t.MergeCounters(second, members, other.EncodeCounters(second, members))
		Expect(t.rows["b"].Counter).To(BeEquivalentTo(260))
		Expect(t.TimeSinceHeartbeat(second, b.MemberID)).To(BeZero())
	})

	It("never takes an old counter for a new one, or a dead member would live for ever", func() {
		Expect(other.MergeCounters(second, members, t.EncodeCounters(second, members))).To(BeEmpty())
		Expect(other.rows["b"].Counter).To(BeEquivalentTo(260))
		t.MergeCounters(gossipFor, members, other.EncodeCounters(gossipFor, members))
		Expect(t.rows["b"].Counter).To(BeEquivalentTo(250), "a member that was silent for long is left out")
	})

	It("tells who has a generation", func() {
		other.Merge(second, []peer.HeartbeatEntry{entry(b, 261, 7)})
		t.MergeGenerationBitmap(members, 7, other.GenerationBitmap(members, 7))
		Expect(t.HasGeneration(b, 7)).To(BeTrue())
		Expect(t.HasGeneration(c, 7)).To(BeFalse())
	})

	It("sends full entries only of groups that differ", func() {
		Expect(other.DifferingEntries(0, t.Digests(0))).To(ContainElement(HaveField("Name", "c")), "it is not known there")
		t.Merge(0, []peer.HeartbeatEntry{entry(c, 1, 1)})
		other.Merge(0, []peer.HeartbeatEntry{entry(a, 1, 1)})
		Expect(other.DifferingEntries(0, t.Digests(0))).To(BeEmpty())
		draining := entry(b, 1, 1)
		draining.Draining = true
		other.Merge(0, []peer.HeartbeatEntry{draining})
		Expect(other.DifferingEntries(0, t.Digests(0))).To(ContainElement(HaveField("Draining", true)))
		Expect(other.DifferingEntries(0, nil)).To(HaveLen(3))
	})

	It("ignores beats and bits of another roster's size", func() {
		Expect(t.MergeCounters(0, members, []byte{1})).To(BeEmpty())
		t.MergeGenerationBitmap(members, 9, nil)
		Expect(t.HasGeneration(b, 9)).To(BeFalse())
	})
})

var _ = Describe("Live", func() {
	It("shares what has not changed, and nothing else", func() {
		t := NewTable(0, a)
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 1, 1)})
		first := t.LiveMembers(0, nil)
		t.Merge(second, []peer.HeartbeatEntry{entry(b, 2, 1)})
		again := t.LiveMembers(second, first)
		Expect(again.liveSet).To(BeIdenticalTo(first.liveSet))
		Expect(again.ValidUntil).To(Equal(second + HeartbeatTimeout))
		t.Merge(2*second, []peer.HeartbeatEntry{entry(c, 2, 1)})
		Expect(t.LiveMembers(2*second, again).IsAlive(c.MemberID)).To(BeTrue())
		Expect(t.LiveMembers(4*second, again).IsAlive(b.MemberID)).To(BeFalse())
		t.Merge(0, []peer.HeartbeatEntry{entry(member("b", 2), 1, 1)})
		Expect(t.LiveMembers(2*second, again).IsAlive(b.MemberID)).To(BeFalse())
		t.UpdateSelf(2*second, 1, 1, true)
		Expect(t.LiveMembers(2*second, again).Owner("e", a)).NotTo(Equal(a))
	})

	It("moves only the endpoints of a member that drains", func() {
		t := NewTable(0, a)
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 1, 1), entry(c, 1, 1)})
		before := t.LiveMembers(0, nil)
		draining := entry(b, 2, 1)
		draining.Draining = true
		t.Merge(0, []peer.HeartbeatEntry{draining})
		after := t.LiveMembers(0, nil)
		Expect(after.IsAlive(b.MemberID)).To(BeTrue())
		for _, endpoint := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
			Expect(after.Owner(endpoint, a)).NotTo(Equal(b))
			if before.Owner(endpoint, a) != b {
				Expect(after.Owner(endpoint, a)).To(Equal(before.Owner(endpoint, a)))
			}
		}
	})
})

var _ = Describe("Votes", func() {
	var (
		votes RemovalVotes
		chain *History
		table *HeartbeatTable
	)
	request := peer.RemovalRequest{From: b.MemberID, Generation: 1, Remove: c.MemberID}
	BeforeEach(func() {
		votes, chain, table = RemovalVotes{}, grown([]peer.Member{a, b, c}), NewTable(0, a)
		table.AddMembers(0, chain.Members())
	})

	It("agrees after 5 s of silence and then vouches for the member no more", func() {
		Expect(votes.MayConfirm(chain, a.MemberID, c.MemberID)).To(BeTrue())
		Expect(votes.VoteOnRemoval(5*second-1, chain, table, a.MemberID, request).Reason).To(Equal(ReasonRecentlyHeard))
		Expect(votes.VoteOnRemoval(5*second, chain, table, a.MemberID, request).Agreed).To(BeTrue())
		Expect(votes.MayConfirm(chain, a.MemberID, c.MemberID)).To(BeFalse())
	})

	It("votes and vouches only under a generation that names this life of the instance", func() {
		self := member("a", 2).MemberID
		Expect(votes.VoteOnRemoval(9*second, chain, table, self, request).Reason).To(Equal(ReasonNotMember))
		Expect(votes.MayConfirm(chain, self, b.MemberID)).To(BeFalse())
	})

	It("votes only for its newest generation", func() {
		chain.Adopt(chain.Next(peer.RosterChange{Added: []peer.Member{d}}))
		Expect(votes.VoteOnRemoval(9*second, chain, table, a.MemberID, request).Reason).To(Equal(ReasonGenerationMismatch))
	})

	It("forgets a vote once a newer generation names the member", func() {
		votes.VoteOnRemoval(9*second, chain, table, a.MemberID, request)
		chain.Adopt(chain.Next(peer.RosterChange{Added: []peer.Member{d}}))
		votes.Prune(chain.Generation())
		Expect(votes.MayConfirm(chain, a.MemberID, c.MemberID)).To(BeTrue())
	})
})
