package feed

import (
	"context"
	"math"
	"time"

	"turmericcove.org/cove"
)

const (
	// maxLoadPeers is how many hosts a starting host asks.
	maxLoadPeers = 3
	// loadTimeout bounds the requests to peers at the start.
	loadTimeout = 2 * time.Second
	// loadStoreAttempts is how often a starting host tries the store.
	loadStoreAttempts = 2
)

// load asks the store and peers for the newest version. No table is in force
// before all have been asked, and none below the head that the store has
// proved, because this host may have had that one in force before a restart.
func (f *Feed) load(ctx context.Context) {
	f.setFloor(math.MaxUint64)
	f.recordDomains()
	floor := f.loadStore(ctx)
	f.loadPeers(ctx)
	f.setFloor(floor)
}

// loadStore catches up with the store and returns the version of its head.
func (f *Feed) loadStore(ctx context.Context) cove.Version {
	for range loadStoreAttempts {
		view, err := f.verify(ctx)
		if err != nil {
			continue
		}
		if view.health == healthDamaged || view.health == healthForked {
			return 0
		}
		return view.head.Version
	}
	return 0
}

func (f *Feed) loadPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	hosts := f.tree().sources()
	for _, id := range hosts[:min(len(hosts), maxLoadPeers)] {
		if err := f.followHost(ctx, id, 0); err != nil {
			f.count("followFailed")
		}
	}
}

// setFloor sets the lowest version that may be in force. It calls the
// watchers when this puts a version in force.
func (f *Feed) setFloor(v cove.Version) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	before := f.Current()
	f.mu.Lock()
	f.floor = v
	f.mu.Unlock()
	if before == nil {
		f.notifyWatchers()
	}
}

// notifyWatchers calls the watchers with the table in force. The caller holds
// publishMu.
func (f *Feed) notifyWatchers() {
	t := f.Current()
	if t == nil {
		return
	}
	for _, fn := range f.watchers {
		fn(t)
	}
}
