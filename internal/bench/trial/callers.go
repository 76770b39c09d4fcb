package trial

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"turmericcove.org/cove/internal/bench/fleet"
)

// lookupEvery is how often callers look up entry hosts. It is far below the
// lifetime of an answer, so that a run of seconds shows the effect.
const lookupEvery = time.Second

// callers follow the lookups of the fleet, one group for each client block.
type callers struct {
	fleet  *fleet.Fleet
	addrs  []netip.Addr
	client *http.Client

	mu    sync.Mutex
	hosts [][]string
}

func (c *callers) init(r *fleet.Fleet) {
	c.fleet = r
	c.client = &http.Client{Timeout: lookupEvery}
	for _, b := range r.Table.Blocks {
		if !b.Prefix.Addr().IsLoopback() {
			c.addrs = append(c.addrs, b.Prefix.Addr().Next())
		}
	}
	c.hosts = make([][]string, len(c.addrs))
	c.refresh()
}

func (c *callers) follow(ctx context.Context) error {
	t := time.NewTicker(lookupEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.refresh()
		}
	}
}

// refresh asks the hosts that a caller uses, then any other, until one answers.
// Callers keep what they have when none does.
func (c *callers) refresh() {
	for i, addr := range c.addrs {
		for _, base := range c.known(i) {
			if list := c.lookup(base, addr); len(list) > 0 {
				c.set(i, list)
				break
			}
		}
	}
}

func (c *callers) known(i int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.Clone(c.hosts[i])
	for _, h := range c.fleet.Hosts {
		known = append(known, h.URL())
	}
	return known
}

func (c *callers) lookup(base string, addr netip.Addr) []string {
	resp, err := c.client.Get(base + "/.cove/lookup?addr=" + addr.String())
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&answer) != nil {
		return nil
	}
	for i := range answer.Hosts {
		answer.Hosts[i] = "http://" + answer.Hosts[i]
	}
	return answer.Hosts
}

func (c *callers) set(i int, list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[i] = list
}

// bases returns the entry hosts for a request, best first. The host of a pinned
// sender goes first.
func (c *callers) bases(host int, n uint64) []string {
	c.mu.Lock()
	list := c.hosts[n%uint64(len(c.hosts))]
	c.mu.Unlock()
	if host >= 0 {
		return append([]string{c.fleet.Hosts[host].URL()}, list...)
	}
	return list
}
