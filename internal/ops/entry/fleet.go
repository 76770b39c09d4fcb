package entry

import (
	"time"

	"turmericcove.org/cove/internal/core/config"
	"turmericcove.org/cove/internal/fleet/lookup"
	"turmericcove.org/cove/internal/fleet/member"
	"turmericcove.org/cove/internal/fleet/peer"
	"turmericcove.org/cove/internal/state/store"
)

// buildFleet creates the services that talk to other hosts and the platform.
func (d *Daemon) buildFleet(o Options) error {
	d.store = &store.Client{
		Base:     d.Settings.Platform.URL,
		HTTP:     platformClient(o),
		Clock:    d.clock,
		Counters: d.meter,
	}
	d.peer = peer.New(peer.Config{
		Self:     d.Self,
		Listen:   d.Settings.Peer.Listen,
		Source:   credentials(d.Settings, o),
		Resolve:  d.resolver.Resolve,
		Clock:    d.clock,
		Counters: d.meter,
		Events:   d.events,
		Dial:     o.Dial,
	})
	d.member = member.NewOverPeers(member.Config{
		Self:     d.Self,
		Peer:     d.Settings.Peer.Advertise,
		Caller:   d.Settings.Caller.Advertise,
		Clock:    d.clock,
		List:     d.store,
		Events:   d.events,
		Counters: d.meter,
		Version:  d.Version,
	}, d.peer)
	d.resolver.Set(d.member.Resolve)
	d.registerPeerHandlers()
	return nil
}

// distances returns the one-way delays between regions from the settings.
func distances(s *config.Settings) lookup.Distances {
	out := make(lookup.Distances, len(s.Distances))
	for _, x := range s.Distances {
		out[lookup.RegionPair{A: x.A, B: x.B}] = time.Duration(x.OneWay)
	}
	return out
}
