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

// newHistory returns a history that adopted the first roster and then the changes.
func newHistory(first []peer.Member, changes ...peer.RosterChange) *History {
	history := &History{}
	history.Adopt(peer.Roster{Generation: 1, Members: first})
	for _, change := range changes {
		history.Adopt(history.Next(change))
	}
	return history
}

func informed(members ...peer.Member) func(peer.Member, uint64) bool {
	return func(m peer.Member, _ uint64) bool { return containsMember(members, m.MemberID) }
}

var _ = Describe("History", func() {
	It("uses the first roster at once", func() {
		Expect(newHistory([]peer.Member{a}).ActiveRosters()).To(Equal([][]peer.Member{{a}}))
	})

	It("keeps an older roster in use until RosterRetireDelay after a majority has a newer one", func() {
		history := newHistory([]peer.Member{a, b, c}, peer.RosterChange{Removed: []peer.Member{c}})
		Expect(history.RetireRosters(0, informed(a))).To(BeFalse())
		Expect(history.RetireRosters(10*second, informed(a, b))).To(BeFalse())
		Expect(history.RetireRosters(10*second+RosterRetireDelay-1, informed())).To(BeFalse())
		Expect(history.RetireRosters(10*second+RosterRetireDelay, informed())).To(BeTrue())
		Expect(history.ActiveRosters()).To(Equal([][]peer.Member{{a, b}}))
	})

	It("does not count members that were absent from the instance list", func() {
		history := newHistory([]peer.Member{a, b, c}, peer.RosterChange{Added: []peer.Member{d}, Removed: []peer.Member{a, b, c},
			Absent: []peer.MemberID{a.MemberID, b.MemberID, c.MemberID}})
		history.RetireRosters(0, informed(d))
		Expect(history.RetireRosters(RosterRetireDelay, informed(d))).To(BeTrue())
	})

	It("counts generations that a reader skipped, because their members may still be confirmed", func() {
		writer := newHistory([]peer.Member{a, b}, peer.RosterChange{Added: []peer.Member{c}}, peer.RosterChange{Removed: []peer.Member{a}}, peer.RosterChange{Added: []peer.Member{a}})
		reader := newHistory([]peer.Member{a, b})
		Expect(reader.Adopt(writer.Newest())).To(Equal(AdoptResult{Adopted: true}))
		Expect(reader.ActiveRosters()).To(HaveExactElements(ConsistOf(a, b), ConsistOf(a, b, c), ConsistOf(b, c), ConsistOf(a, b, c)))
		Expect((*ViewHistory)(nil).Append(0, false, reader.ActiveRosters()).Newest().Share(quota.Limits{Rate: 1, Burst: 1}, "x", a.MemberID)).To(BeZero())
	})

	It("reports a gap if generations are missing between the known and the adopted one", func() {
		history := newHistory([]peer.Member{a})
		Expect(history.Adopt(peer.Roster{Generation: 5, Members: []peer.Member{a}})).To(Equal(AdoptResult{Adopted: true, Gap: true}))
	})

	It("drops rosters that the writer found to be out of use", func() {
		history := newHistory([]peer.Member{a}, peer.RosterChange{Added: []peer.Member{b}}, peer.RosterChange{Added: []peer.Member{c}})
		history.Adopt(peer.Roster{Generation: 4, Members: []peer.Member{a, b, c, d}, Changes: []peer.RosterChange{{Added: []peer.Member{d}}}})
		Expect(history.ActiveRosters()).To(Equal([][]peer.Member{{a, b, c}, {a, b, c, d}}))
	})

	DescribeTable("ignores", func(r peer.Roster) {
		Expect(newHistory([]peer.Member{a}, peer.RosterChange{}).Adopt(r).Adopted).To(BeFalse())
	},
		Entry("an older roster", peer.Roster{Generation: 1}),
		Entry("an equal roster", peer.Roster{Generation: 2, Members: []peer.Member{b}}),
		Entry("more changes than generations", peer.Roster{Generation: 3, Changes: make([]peer.RosterChange, 3)}),
	)
})

var _ = Describe("HeartbeatTable", func() {
	var t *HeartbeatTable
	BeforeEach(func() { t = NewTable(0, a) })

	It("counts a member as dead 3 s after its counter last grew, even if an old counter is repeated", func() {
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

	It("measures the time without a heartbeat from the addition of a member that has sent none", func() {
		t.AddMembers(4*second, []peer.Member{b})
		Expect(t.TimeSinceHeartbeat(6*second, b.MemberID)).To(Equal(2 * second))
		Expect(t.LiveMembers(4*second, nil).IsAlive(b.MemberID)).To(BeFalse())
	})

	It("treats a new incarnation as the end of the old one only at the same address", func() {
		moved := member("b", 2)
		moved.Address = "http://elsewhere"
		t.Merge(0, []peer.HeartbeatEntry{entry(moved, 1, 9)})
		Expect(t.HasGeneration(b, 9)).To(BeFalse())
		t.Merge(0, []peer.HeartbeatEntry{entry(member("c", 2), 1, 9)})
		Expect(t.HasGeneration(c, 9)).To(BeTrue())
	})

	It("does not pass on members without recent heartbeats", func() {
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 5, 1)})
		t.UpdateSelf(gossipWindow, 1, 1, false)
		Expect(t.RecentEntries(gossipWindow)).To(ConsistOf(HaveField("Name", "a")))
		t.PruneStale(pruneAfter, func(peer.MemberID) bool { return false })
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

	It("never mistakes an old counter for a newer one, which would keep a dead member alive", func() {
		Expect(other.MergeCounters(second, members, t.EncodeCounters(second, members))).To(BeEmpty())
		Expect(other.rows["b"].Counter).To(BeEquivalentTo(260))
		t.MergeCounters(gossipWindow, members, other.EncodeCounters(gossipWindow, members))
		Expect(t.rows["b"].Counter).To(BeEquivalentTo(250), "a member that was silent for long is left out")
	})

	It("reports which members have a generation", func() {
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

	It("ignores counters and bitmaps of another roster's size", func() {
		Expect(t.MergeCounters(0, members, []byte{1})).To(BeEmpty())
		t.MergeGenerationBitmap(members, 9, nil)
		Expect(t.HasGeneration(b, 9)).To(BeFalse())
	})
})

var _ = Describe("LiveMembers", func() {
	It("reuses the index only while the live members and their draining states are unchanged", func() {
		t := NewTable(0, a)
		t.Merge(0, []peer.HeartbeatEntry{entry(b, 1, 1)})
		first := t.LiveMembers(0, nil)
		t.Merge(second, []peer.HeartbeatEntry{entry(b, 2, 1)})
		again := t.LiveMembers(second, first)
		Expect(again.liveIndex).To(BeIdenticalTo(first.liveIndex))
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

var _ = Describe("RemovalVotes", func() {
	var (
		votes   RemovalVotes
		history *History
		table   *HeartbeatTable
	)
	request := peer.RemovalRequest{From: b.MemberID, Generation: 1, Remove: c.MemberID}
	BeforeEach(func() {
		votes, history, table = RemovalVotes{}, newHistory([]peer.Member{a, b, c}), NewTable(0, a)
		table.AddMembers(0, history.Members())
	})

	It("agrees to the removal after 5 s without a heartbeat and then no longer confirms the member", func() {
		Expect(votes.MayConfirm(history, a.MemberID, c.MemberID)).To(BeTrue())
		Expect(votes.VoteOnRemoval(5*second-1, history, table, a.MemberID, request).Reason).To(Equal(ReasonRecentHeartbeat))
		Expect(votes.VoteOnRemoval(5*second, history, table, a.MemberID, request).Agreed).To(BeTrue())
		Expect(votes.MayConfirm(history, a.MemberID, c.MemberID)).To(BeFalse())
	})

	It("votes and confirms only under a generation that contains this incarnation of the instance", func() {
		self := member("a", 2).MemberID
		Expect(votes.VoteOnRemoval(9*second, history, table, self, request).Reason).To(Equal(ReasonNotMember))
		Expect(votes.MayConfirm(history, self, b.MemberID)).To(BeFalse())
	})

	It("votes only for its newest generation", func() {
		history.Adopt(history.Next(peer.RosterChange{Added: []peer.Member{d}}))
		Expect(votes.VoteOnRemoval(9*second, history, table, a.MemberID, request).Reason).To(Equal(ReasonGenerationMismatch))
	})

	It("drops a vote once a newer generation contains the member", func() {
		votes.VoteOnRemoval(9*second, history, table, a.MemberID, request)
		history.Adopt(history.Next(peer.RosterChange{Added: []peer.Member{d}}))
		votes.Prune(history.Generation())
		Expect(votes.MayConfirm(history, a.MemberID, c.MemberID)).To(BeTrue())
	})
})
