package feed

import (
	"context"
	"time"
)

const (
	// loadPeers is how many hosts a starting host asks.
	loadPeers = 3
	// loadTimeout bounds the questions to peers at the start.
	loadTimeout = 2 * time.Second
)

// load asks peers and the store for the newest version.
func (f *Feed) load(ctx context.Context) {
	f.learnDomains()
	peerCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	hosts := f.tree().sources()
	for _, id := range hosts[:min(len(hosts), loadPeers)] {
		if err := f.followHost(peerCtx, id, 0); err != nil {
			f.count("followFailed")
		}
	}
	// The error is kept in the view of the store.
	_, _ = f.verify(ctx)
}
