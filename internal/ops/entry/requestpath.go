package entry

import (
	"cmp"
	"time"

	"turmericcove.org/cove/internal/fleet/lookup"
	"turmericcove.org/cove/internal/limit/admit"
	"turmericcove.org/cove/internal/limit/dedup"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/pick"
	"turmericcove.org/cove/internal/route/proxy"
)

// buildRequestPath creates the services that handle requests.
func (d *Daemon) buildRequestPath(o Options) error {
	policy, err := pick.ByName(cmp.Or(o.Policy, pick.Names()[0]))
	if err != nil {
		return err
	}
	d.dedup = dedup.New(dedup.Config{
		Self:     d.Self,
		Clock:    d.clock,
		Store:    d.store,
		Members:  d.member,
		Counters: d.meter,
		Events:   d.events,
	})
	d.health = &health.Tracker{
		Self:    d.Self,
		Clock:   d.clock,
		Tables:  d.feed,
		Members: d.member,
		Gossip:  d.member,
		List:    d.store,
		Prober:  new(health.HTTPProber),
		Events:  d.events,
	}
	d.admit = &admit.Admitter{
		Self:     d.Self,
		Clock:    d.clock,
		Tables:   d.feed,
		Members:  d.member,
		Registry: d.share,
		Gossip:   d.member,
		Health:   d.health,
		Policy:   policy,
		Events:   d.events,
		Counters: d.meter,
	}
	return d.buildProxy()
}

// buildProxy creates the proxy and mounts the lookup handler on its port.
func (d *Daemon) buildProxy() error {
	tls, err := callerTLS(d.Settings.Caller)
	if err != nil {
		return err
	}
	d.proxy = proxy.New(proxy.Deps{
		Self:         d.Self,
		Tables:       d.feed,
		Keys:         d.keys,
		Limiter:      d.share,
		Deduplicator: d.dedup,
		Admitter:     d.admit,
		Peers:        d.peer,
		Counters:     d.meter,
		Events:       d.events,
		Clock:        d.clock,
	}, proxy.Config{
		Addr:           d.Settings.Caller.Listen,
		TLS:            tls,
		MaxHeaderBytes: d.Settings.Caller.MaxHeaderBytes,
		MaxBodyBytes:   d.Settings.Caller.MaxBodyBytes,
		MaxConns:       d.Settings.Caller.MaxConnections,
		HeaderTimeout:  time.Duration(d.Settings.Caller.HeaderTimeout),
	})
	d.proxy.Mount(lookup.Path, &lookup.Handler{
		Directory: d.lookup,
		Trusted:   d.Settings.Caller.Trusted,
		Counters:  d.meter,
	})
	return nil
}
