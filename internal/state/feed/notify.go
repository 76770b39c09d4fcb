package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// notifyTimeout bounds one notification.
	notifyTimeout = time.Second
	// notifyRanks is how many hosts of a domain are tried.
	notifyRanks = 2
	// confirmWait is how long Confirm waits for heartbeats to report the version
	// before it asks hosts directly.
	confirmWait = time.Second
	// confirmInterval is the time between two rounds of Confirm.
	confirmInterval = 100 * time.Millisecond
	// confirmConcurrency is how many hosts are asked at once.
	confirmConcurrency = 16
)

// notifyAll tells one host of each failure domain of a committed version. It
// does not wait for the answers.
func (f *Feed) notifyAll(ctx context.Context, e entry) {
	t := f.tree()
	groups := t.others
	if t.rank > 0 {
		groups = append(slices.Clone(groups), t.domain[:1])
	}
	req := &peerpb.NotifyRequest{Sender: f.sender(), Version: uint64(e.version)}
	if len(e.data) <= maxInlineBytes {
		req.Delta = deltasToProto([]entry{e})[0]
	}
	for _, hosts := range groups {
		f.background(ctx, func(ctx context.Context) { f.notifyFirst(ctx, hosts, req) })
	}
}

// notifyFirst notifies the first of the hosts that answers.
func (f *Feed) notifyFirst(ctx context.Context, hosts []cove.HostID, req *peerpb.NotifyRequest) {
	for _, id := range hosts {
		if f.notify(ctx, id, req) == nil {
			return
		}
		f.count("notifyFailed")
	}
}

// startTask runs a task that ends with the service.
func (f *Feed) startTask(_ context.Context, fn func(ctx context.Context)) {
	f.group.Go(func(ctx context.Context) error {
		fn(ctx)
		return nil
	})
}

func (f *Feed) notify(ctx context.Context, id cove.HostID, req *peerpb.NotifyRequest) error {
	client, err := f.client(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	_, err = client.Notify(ctx, req)
	return errors.Wrap(err, "notify")
}

// Confirmation tells which hosts have a version in force.
type Confirmation struct {
	Version   cove.Version
	Confirmed []cove.HostID
	Missing   []cove.HostID
	// Took is the time until the last host confirmed, or until the wait ended.
	Took time.Duration
}

// InForce returns which hosts have a version in force as far as heartbeats
// have reported it. Hosts that are gone are left out.
func (f *Feed) InForce(v cove.Version) Confirmation {
	c := Confirmation{Version: v}
	c.add(f.Self.ID, f.current().version() >= v)
	for _, m := range f.Members.Snapshot() {
		if m.ID != f.Self.ID && m.State != cove.HostGone {
			c.add(m.ID, m.Version >= v)
		}
	}
	return c
}

func (c *Confirmation) add(id cove.HostID, inForce bool) {
	if inForce {
		c.Confirmed = append(c.Confirmed, id)
		return
	}
	c.Missing = append(c.Missing, id)
}

// Confirm waits until all hosts have a version in force or ctx ends. Hosts
// whose heartbeats have not reported it in time are asked directly.
func (f *Feed) Confirm(ctx context.Context, v cove.Version) Confirmation {
	start := f.Clock.Now()
	asked := make(map[cove.HostID]bool)
	for {
		c := f.InForce(v)
		took := f.Clock.Now().Sub(start)
		if took >= confirmWait {
			f.queryVersions(ctx, v, c.Missing, asked)
		}
		c = c.withDirectAnswers(asked)
		c.Took = f.Clock.Now().Sub(start)
		if len(c.Missing) == 0 || f.Clock.Sleep(ctx, confirmInterval) != nil {
			return c
		}
	}
}

// withDirectAnswers moves the hosts that have confirmed directly.
func (c Confirmation) withDirectAnswers(asked map[cove.HostID]bool) Confirmation {
	out := Confirmation{Version: c.Version, Confirmed: c.Confirmed}
	for _, id := range c.Missing {
		out.add(id, asked[id])
	}
	return out
}

// queryVersions requests the version of hosts and notes those that have it.
func (f *Feed) queryVersions(ctx context.Context, v cove.Version, hosts []cove.HostID, asked map[cove.HostID]bool) {
	var mu sync.Mutex
	g := group.New(ctx)
	slots := make(chan struct{}, confirmConcurrency)
	for _, id := range hosts {
		if id == f.Self.ID || asked[id] {
			continue
		}
		slots <- struct{}{}
		g.Go(func(ctx context.Context) error {
			defer func() { <-slots }()
			if f.hasVersion(ctx, id, v) {
				mu.Lock()
				defer mu.Unlock()
				asked[id] = true
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = g.Wait()
	g.Cancel()
}

func (f *Feed) hasVersion(ctx context.Context, id cove.HostID, v cove.Version) bool {
	client, err := f.client(id)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := client.Follow(ctx, &peerpb.FollowRequest{Sender: f.sender(), Version: uint64(v)})
	return err == nil && cove.Version(resp.Version) >= v
}
