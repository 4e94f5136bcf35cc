package peerudp_test

import (
	"fmt"
	"sync"
	"testing"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
)

// Guards against readers of one collector that are refused since all of them fetch a new version at the same time, and against answers for
// the state of another instance.
func TestAnswersManyReadersWithWhatIsNewer(t *testing.T) {
	a, address := listen(t)
	go a.Serve(func(gossip.Message) {}, nil, func(k routingcache.Known) gossip.State {
		c := routingcache.Snapshot{Changes: &routingcache.EndpointChanges{Since: k.Endpoints, Revision: 1 << 50, Checksum: k.ConfigRevision}}
		if k.ConfigVersion%2 == 0 {
			c.Config = &routing.Config{Version: k.ConfigVersion + 1}
		}
		return gossip.State{Copy: c, PlatformAnswerAgeMS: 7}
	})
	var group sync.WaitGroup
	for i := range uint64(60) {
		group.Go(func() {
			b, _ := listen(t)
			known := routingcache.Known{ConfigVersion: i % 4, ConfigRevision: 5, Endpoints: i % 4}
			state, err := b.FetchNewer(t.Context(), address, known)
			if err != nil {
				t.Error(err)
				return
			}
			c := state.Copy
			got := fmt.Sprint(c.Config != nil, c.Changes.Since, c.Changes.Revision, c.Changes.Checksum, state.PlatformAnswerAgeMS)
			if want := fmt.Sprint(i%2 == 0, i%4, uint64(1<<50), 5, 7); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
	group.Wait()
}
