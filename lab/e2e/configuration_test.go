package e2e_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
)

var _ = Describe("the configuration", func() {
	// Guards against a router that reverts to an older revision after a stale read, applies an invalid revision, or does not
	// catch up.
	It("changes on all routers and never reverts or becomes invalid while the platform serves stale reads", func() {
		s := start(3)
		s.addKey("first-new-key")
		s.apply()
		second := s.version
		Eventually(s.inForce).WithTimeout(eventTimeout).WithPolling(50 * time.Millisecond).Should(BeTrue())

		// Reads return the revision before the second one.
		s.faults(s.platform, map[string]any{"staleWrites": 1})
		s.awaitStaleReads(second)

		// The third revision is invalid; after the fourth, stale reads return the third.
		valid := s.catalogue.Routes[0].Pool
		s.catalogue.Routes[0].Pool = "no-such-pool"
		s.apply()
		third := s.version
		s.catalogue.Routes[0].Pool = valid
		s.addKey("second-new-key")
		s.apply()
		Eventually(s.validatedRevisions).
			WithTimeout(eventTimeout).WithPolling(50 * time.Millisecond).Should(HaveEach(third))
		Expect(s.revisions()).To(HaveEach(second))
		s.expectKeyStatus("first-new-key", http.StatusOK)
		s.expectKeyStatus("second-new-key", http.StatusUnauthorized)

		s.faults(s.platform, map[string]any{"staleWrites": 0})
		Eventually(s.inForce).WithTimeout(eventTimeout).WithPolling(50 * time.Millisecond).Should(BeTrue())
		s.expectKeyStatus("second-new-key", http.StatusOK)

		// A router that starts during stale reads gets the invalid revision from the platform and the valid one from its peers.
		s.faults(s.platform, map[string]any{"staleWrites": 1})
		last := s.routers[2]
		before := s.applied(last)
		last.kill()
		s.run(last)
		s.await(last.operators + "/healthz")
		Eventually(s.inForce).WithTimeout(eventTimeout).WithPolling(50 * time.Millisecond).Should(BeTrue())
		s.awaitStaleReads(s.version)

		for _, applied := range append([][]uint64{before}, s.applied(s.routers[0]), s.applied(s.routers[1]), s.applied(last)) {
			Expect(applied).NotTo(BeEmpty())
			Expect(applied).NotTo(ContainElement(third), "the revision is not valid")
			for i := range applied[1:] {
				Expect(applied[i+1]).To(BeNumerically(">", applied[i]), "revisions only increase")
			}
		}
	})

	// Guards against a router that cannot start without the platform although its peers have the configuration.
	It("is read from the seed peers when a router starts while the platform is down", func() {
		s := start(2)
		s.faults(s.platform, map[string]any{"outage": true})
		s.addRouter("joiner")
		joiner := s.routers[2]
		dead := "http://" + freeAddress()
		joiner.arguments = append(joiner.arguments, "-seeds", dead+","+s.peerURL("router-1")+","+s.peerURL("router-2"))
		s.run(joiner)
		s.await(joiner.operators + "/healthz")
		Eventually(s.revisions).
			WithTimeout(eventTimeout).WithPolling(50 * time.Millisecond).Should(HaveEach(s.version))
		// Until it has a share of the rate, it serves requests from tokens borrowed from its peers.
		ctx, cancel := withTimeout()
		defer cancel()
		Eventually(func() bool {
			return complete(ctx, joiner.url, key, prompt("joiner"), 5, nil).whole(prompt("joiner"), 5)
		}).
			WithTimeout(eventTimeout).WithPolling(100 * time.Millisecond).Should(BeTrue())
		s.faults(s.platform, map[string]any{"outage": false})
		s.await(joiner.operators + "/readyz")
	})
})

// addKey adds a key to the first customer.
func (s *system) addKey(key string) {
	digest := sha256.Sum256([]byte(key))
	c := &s.catalogue.Customers[0]
	c.Keys = append(c.Keys, catalogue.Key{Name: key, SHA256: hex.EncodeToString(digest[:])})
}

// expectKeyStatus expects the status from every router for a call with the key.
func (s *system) expectKeyStatus(key string, status int) {
	GinkgoHelper()
	ctx, cancel := withTimeout()
	defer cancel()
	for _, r := range s.routers {
		got, _, body := call{http.MethodGet, "/v1/models", "", http.Header{"Authorization": {"Bearer " + key}}}.send(ctx, r.url)
		Expect(got).To(Equal(status), r.name+" "+body)
	}
}

type inForce struct {
	Revision uint64 `json:"revision"`
	Judged   uint64 `json:"judgedRevision"`
}

// revisions returns the revision that each router has in force.
func (s *system) revisions() (all []uint64) {
	GinkgoHelper()
	for _, r := range s.routers {
		all = append(all, get[inForce](r.operators+"/status").Revision)
	}
	return all
}

// validatedRevisions returns the newest revision that each router has validated.
func (s *system) validatedRevisions() (all []uint64) {
	GinkgoHelper()
	for _, r := range s.routers {
		all = append(all, get[inForce](r.operators+"/status").Judged)
	}
	return all
}

// awaitStaleReads waits until each router has detected a stale read after this call, and fails if one has another
// revision in force.
func (s *system) awaitStaleReads(revision uint64) {
	GinkgoHelper()
	for _, r := range s.routers {
		before := s.metric(r, "tanagerwood_config_stale_ignored_total")
		Eventually(func() float64 {
			if has := get[inForce](r.operators + "/status").Revision; has != revision {
				StopTrying(fmt.Sprintf("%s has revision %d in force, not %d", r.name, has, revision)).Now()
			}
			return s.metric(r, "tanagerwood_config_stale_ignored_total")
		}).WithTimeout(eventTimeout).WithPolling(50*time.Millisecond).Should(BeNumerically(">", before), r.name)
	}
}

// metric returns the value of one counter of a router, or 0 if the router does not report it.
func (s *system) metric(r *process, name string) float64 {
	GinkgoHelper()
	_, _, body := call{method: http.MethodGet, path: "/metrics"}.send(GinkgoT().Context(), r.operators)
	for line := range bytes.Lines([]byte(body)) {
		var value float64
		if n, _ := fmt.Sscanf(string(line), name+" %g", &value); n == 1 {
			return value
		}
	}
	return 0
}

// applied lists the revisions that came into force, oldest first.
func (s *system) applied(r *process) (revisions []uint64) {
	GinkgoHelper()
	for _, e := range s.events(r) {
		if e.Kind == event.ConfigApplied {
			var revision uint64
			_, err := fmt.Sscanf(e.Detail, "revision %d", &revision)
			Expect(err).NotTo(HaveOccurred(), e.Detail)
			revisions = append(revisions, revision)
		}
	}
	return revisions
}

func (s *system) peerURL(router string) string {
	for _, i := range s.instances.Instances {
		if i.Name == router {
			return i.URL
		}
	}
	Fail("no " + router + " in the instance list")
	return ""
}
