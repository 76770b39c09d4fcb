package direct

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/fleet/beacon"
	"turmericcove.org/cove/internal/route/proxy"
)

// Guards against hosts that learn the round trip to other failure domains only from
// requests, so that the first ones are placed on a guess.
func TestRoundTripIsMeasuredWithoutRequests(t *testing.T) {
	ctx := context.Background()
	var hosts []*Host
	var register []beacon.Host
	for i, domain := range []cove.Domain{"east-a", "west-a"} {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(1 + i)}), 9300)
		self := beacon.Host{
			ID: cove.HostID(domain), Region: cove.Region(domain[:4]), Domain: domain,
			Peer: addr, Caller: netip.AddrPortFrom(addr.Addr(), 9301),
		}
		register = append(register, self)
		hosts = append(hosts, New(Options{Self: self, Logger: logr.Discard(), Proxy: proxy.Config{Addr: self.Caller}}))
	}
	for _, h := range hosts {
		if err := h.Start(ctx); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := h.Stop(ctx); err != nil {
				t.Error(err)
			}
		})
		h.Beacon.SetHosts(register)
	}
	other := [...]cove.Domain{"west-a", "east-a"}
	deadline := time.Now().Add(5 * time.Second)
	for i, h := range hosts {
		for _, known := h.steer.RoundTrip(other[i]); !known; _, known = h.steer.RoundTrip(other[i]) {
			if time.Now().After(deadline) {
				t.Fatalf("%s does not know the round trip to %s", h.Beacon.Self.ID, other[i])
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
