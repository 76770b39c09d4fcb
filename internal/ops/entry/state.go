package entry

import (
	"net/http"
	"time"

	"turmericcove.org/cove/internal/core/config"
	"turmericcove.org/cove/internal/fleet/lookup"
	"turmericcove.org/cove/internal/fleet/peer"
	"turmericcove.org/cove/internal/limit/share"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/keys"
)

const (
	platformIdleConns   = 4
	platformIdleTimeout = 30 * time.Second
)

// buildState creates the services that hold tables, keys and rate shares.
func (d *Daemon) buildState(o Options) error {
	d.feed = feed.New(feed.Config{
		Self:     d.Self,
		Clock:    d.clock,
		Rows:     d.store,
		Objects:  d.store,
		Members:  d.member,
		Peers:    d.peer,
		Gossip:   d.member,
		Events:   d.events,
		Counters: d.meter,
	})
	d.lookup = lookup.New(lookup.Config{
		Self:      d.Self,
		Members:   d.member,
		Tables:    d.feed,
		Distances: distances(d.Settings),
	})
	d.keys = keys.New(d.clock, d.feed, d.feed)
	d.share = share.New(share.Config{
		Self:     d.Self,
		Peer:     d.Settings.Peer.Advertise,
		Clock:    d.clock,
		Store:    d.store,
		Tables:   d.feed,
		Members:  d.member,
		Peers:    d.peer,
		Counters: d.meter,
		Events:   d.events,
		Static:   o.StaticShares,
	})
	return nil
}

// platformClient returns the HTTP client for calls to the platform.
func platformClient(o Options) *http.Client {
	if o.Platform != nil {
		return &http.Client{Transport: o.Platform}
	}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: platformIdleConns,
		IdleConnTimeout:     platformIdleTimeout,
	}}
}

// credentials returns the source of the certificate for the peer port.
func credentials(s *config.Settings, o Options) peer.Source {
	if o.Credentials != nil {
		return o.Credentials
	}
	return &peer.FileSource{CertFile: s.Peer.Cert, KeyFile: s.Peer.Key, RootsFile: s.Peer.CA}
}
