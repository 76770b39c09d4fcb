package steer

import (
	"context"
	"errors"
	"testing"
	"time"

	"turmericcove.org/cove"
)

func substitutes() [][]Substitute {
	return [][]Substitute{
		{{ID: "near-1", Region: "east"}, {ID: "near-2", Region: "east"}},
		{{ID: "far", Region: "west"}},
	}
}

func (f *fleet) admitRequest(req cove.RequestInfo, ex cove.Exclude) (cove.Target, error) {
	req.Route, req.Deadline, req.Goal = "r", f.clock.Now().Add(time.Second), 500*time.Millisecond
	p, err := f.hosts[0].Admit(context.Background(), []cove.PoolWeight{{Pool: testPool, Weight: 1}}, req, ex)
	if err != nil {
		return cove.Target{}, err
	}
	defer p.Done(okResult)
	return p.Target(), nil
}

// Guards against requests that are passed on to a host that may not see them, in a
// circle, to a host that was tried before, or all to the same host.
func TestIsolatedHostChoosesSubstitutes(t *testing.T) {
	f := newFleet(1, 4)
	f.hosts[0].Isolate(substitutes())
	west := []cove.Region{"west"}
	for name, c := range map[string]struct {
		req  cove.RequestInfo
		ex   cove.Exclude
		want cove.HostID
	}{
		"route at home elsewhere":   {cove.RequestInfo{Homes: west}, cove.Exclude{}, "far"},
		"team at home elsewhere":    {cove.RequestInfo{TeamHomes: west}, cove.Exclude{}, "far"},
		"no region allows both":     {cove.RequestInfo{Homes: west, TeamHomes: []cove.Region{"east"}}, cove.Exclude{}, ""},
		"forwarded by another host": {cove.RequestInfo{Forwarded: true}, cove.Exclude{}, ""},
		"tried before":              {cove.RequestInfo{}, cove.Exclude{Hosts: []cove.HostID{"near-1", "near-2"}}, "far"},
		"all tried before":          {cove.RequestInfo{}, cove.Exclude{Hosts: []cove.HostID{"near-1", "near-2", "far"}}, ""},
	} {
		target, err := f.admitRequest(c.req, c.ex)
		if target.Host != c.want || target.Server != "" {
			t.Errorf("%s: passed on to %q, want %q", name, target.Host, c.want)
		}
		var ref *cove.Refusal
		if c.want == "" && (!errors.As(err, &ref) || ref.Outcome != cove.NotRun || ref.RetryAfter == 0) {
			t.Errorf("%s: refused with %v", name, err)
		}
	}
	got := make(map[cove.HostID]int)
	for i := range 200 {
		target, err := f.admitRequest(cove.RequestInfo{ID: string(rune('a'+i%26)) + string(rune('a'+i/26))}, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		got[target.Host]++
	}
	if got["near-1"] < 60 || got["near-2"] < 60 {
		t.Errorf("200 requests are passed on to %v", got)
	}
}

// Guards against a host that still avoids servers after an isolation, because it
// could not reach them.
func TestFailuresOfIsolationAreForgotten(t *testing.T) {
	f := newFleet(1, 4)
	failed := 0
	f.hosts[0].OnSuspicion(func() { failed++ })
	for range 40 {
		p, err := f.admit(0, 0, cove.Exclude{})
		if err != nil {
			break
		}
		p.Done(cove.AttemptResult{Err: errors.New("no route"), Unreached: true})
		f.clock.Advance(10 * time.Millisecond)
	}
	if failed == 0 {
		t.Error("failed connections raise no suspicion")
	}
	f.hosts[0].Isolate(substitutes())
	f.hosts[0].Rejoin()
	used := make(map[cove.ServerID]bool)
	for object := uint64(1); object < 40; object++ {
		p, err := f.admit(0, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		used[p.Target().Server] = true
		p.Done(okResult)
	}
	if len(used) != 4 {
		t.Errorf("requests go to %d of 4 servers", len(used))
	}
}

// Guards against probes of servers that share a failure domain while others are not
// tried.
func TestProbesCoverFailureDomains(t *testing.T) {
	f := newFleet(1, 8)
	for seed := range uint64(20) {
		domains := make(map[int]bool)
		for _, addr := range f.hosts[0].ProbeTargets(2, seed) {
			domains[int(addr.Port())%2] = true
		}
		if len(domains) != 2 {
			t.Errorf("seed %d: the probes cover %d of 2 failure domains", seed, len(domains))
		}
	}
	if n := len(f.hosts[0].ProbeTargets(20, 1)); n != 8 {
		t.Errorf("%d of 8 servers are probed", n)
	}
}
