// Package crashstore keeps the crash records that quarantine parts of prompts in the platform's store, so that they outlive a restart of
// all instances. The leading instance reads them once and writes them when a quarantine begins; the others get them with its reports.
package crashstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/quarantine"
)

const (
	// checkInterval is the time between checks whether there is anything to read or to write.
	checkInterval = 200 * time.Millisecond
	// retryInterval is the time after a failed call.
	retryInterval = 3 * time.Second
	callTimeout   = 2 * time.Second
	// stateName is the name under which the records are stored.
	stateName = "quarantine"
)

// StateStore stores values of the router under names.
type StateStore interface {
	// ReadState returns a value and its revision, which is zero if there is none.
	ReadState(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	// WriteState creates the value if the revision is zero, and otherwise replaces the value of that revision. The error wraps
	// routing.ErrConflict if it has another revision.
	WriteState(ctx context.Context, name string, revision uint64, value any) error
	// Era increases when the platform is restored from a backup, in which the value may be missing.
	Era() uint64
}

// Deps holds the dependencies of a Keeper.
type Deps struct {
	Store      StateStore
	Quarantine *quarantine.Tracker
	// IsLeader reports whether this instance acts for the whole fleet.
	IsLeader func() bool
	// OnLoad is called when records were read, which the other instances must learn.
	OnLoad func()
	Boot   func() time.Duration
	// Now returns the time of day.
	Now    func() time.Time
	Logger *log.Logger
}

// Keeper reads and writes the records.
type Keeper struct {
	Deps
	loaded bool
	// saved identifies what the stored records quarantine, as they were last read or written.
	saved string
	// retryAt is when a call is made again after a failure; since boot.
	retryAt time.Duration
}

// New returns a Keeper that makes no call before Run.
func New(d Deps) *Keeper { return &Keeper{Deps: d} }

// storedCrash is a record as it is stored.
type storedCrash struct {
	quarantine.Crash
	// AtMS is the time of the crash in milliseconds since the Unix epoch.
	AtMS int64 `json:"at_ms"`
}

// Run keeps the records until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	background.RunEvery(ctx, checkInterval, func(ctx context.Context) {
		if k.Boot() < k.retryAt || !k.IsLeader() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := k.synchronize(ctx); err != nil {
			k.retryAt = k.Boot() + retryInterval
			k.Logger.Warn().Str("event", "quarantine.not_stored").Err(err).Msg("trying again")
		}
	})
}

// synchronize reads the records if that has not been done yet, and writes them if what they quarantine has changed.
func (k *Keeper) synchronize(ctx context.Context) error {
	if !k.loaded {
		if _, err := k.load(ctx); err != nil {
			return err
		}
		k.loaded = true
	}
	if k.state(k.Quarantine) == k.saved || len(k.Quarantine.Quarantined(k.Boot())) == 0 {
		return nil
	}
	revision, err := k.load(ctx)
	if err != nil {
		return err
	}
	state := k.state(k.Quarantine)
	err = k.Store.WriteState(ctx, stateName, revision, k.encode())
	if errors.Is(err, routing.ErrConflict) {
		return nil // another instance has written; the next check reads what it wrote
	}
	if err != nil {
		return err
	}
	k.saved = state
	k.Logger.Info().Str("event", "quarantine.stored").Any("parts", k.Quarantine.Quarantined(k.Boot())).Msg("")
	return nil
}

// state identifies what is quarantined, and the store's era.
func (k *Keeper) state(records *quarantine.Tracker) string {
	return fmt.Sprint(k.Store.Era(), records.Quarantined(k.Boot()))
}

// load reads the stored records, notes what they quarantine, and merges them. It returns the revision of the value.
func (k *Keeper) load(ctx context.Context) (revision uint64, err error) {
	value, revision, err := k.Store.ReadState(ctx, stateName)
	if err != nil || revision == 0 {
		return 0, err
	}
	var stored []storedCrash
	if err := json.Unmarshal(value, &stored); err != nil {
		// The value is replaced by the next one that is written.
		k.Logger.Warn().Str("event", "quarantine.malformed").Err(err).Msg("ignored the stored crashes")
		return revision, nil
	}
	crashes := make([]quarantine.Crash, 0, len(stored))
	for _, s := range stored {
		s.AgeMS = max(0, k.Now().UnixMilli()-s.AtMS)
		crashes = append(crashes, s.Crash)
	}
	alone := quarantine.New()
	alone.MergePeer(crashes, k.Boot())
	k.saved = k.state(alone)
	if k.Quarantine.Restore(crashes, k.Boot()) {
		k.OnLoad()
	}
	return revision, nil
}

func (k *Keeper) encode() []storedCrash {
	var out []storedCrash
	for _, c := range k.Quarantine.Supporting(k.Boot()) {
		out = append(out, storedCrash{Crash: c, AtMS: k.Now().UnixMilli() - c.AgeMS})
	}
	return out
}
