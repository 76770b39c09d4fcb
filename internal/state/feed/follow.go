package feed

import (
	"bytes"
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// Times and bounds of exchanges with peers.
const (
	// followWait is how long a parent holds a request. Three levels of it and
	// the interval of verifications stay under the freshness limit of 5 s.
	followWait = 600 * time.Millisecond
	// callTimeout bounds an exchange beyond the time it is held.
	callTimeout = time.Second
	// fetchTimeout bounds the transfer of deltas or a snapshot.
	fetchTimeout = 10 * time.Second
	// followRetryInterval is the wait after a failed attempt, or without a host to
	// follow.
	followRetryInterval = 200 * time.Millisecond
	// outageRetryInterval is the wait of the first host of a domain that is
	// fresh only by the rule for an outage and looks for a host that reaches
	// the store.
	outageRetryInterval = 500 * time.Millisecond
	// maxRootSyncAge is the age of the last synchronisation after which the
	// first host of a domain follows others.
	maxRootSyncAge = 1500 * time.Millisecond
	// maxSourceAge is the age after which another host follows another source. It
	// is above the age that is normal three levels below the root.
	maxSourceAge = 3500 * time.Millisecond
	// maxClockDrift is the maximum relative drift between the clocks of two hosts.
	maxClockDrift = 0.02
	// protocolVersion of the messages.
	protocolVersion = 1
	// chainPrefixBytes is how many bytes of the chain a host compares with a peer.
	chainPrefixBytes = 8
)

var (
	errNoSource    = errors.New("no host to follow")
	errStaleSource = errors.New("the host to follow is not fresh")
)

func (f *Feed) followLoop(ctx context.Context) error {
	for {
		err := f.followOnce(ctx, followWait)
		if err == nil {
			continue
		}
		pause := followRetryInterval
		if errors.Is(err, errStaleSource) && f.age() < maxSourceAge {
			pause = outageRetryInterval
		}
		if err := f.Clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// followOnce makes one request to the host that this one follows. A source that
// leaves this host stale counts as a failure, so that the next one is tried, and
// is not asked to hold the request.
func (f *Feed) followOnce(ctx context.Context, wait time.Duration) error {
	t := f.tree()
	hosts := t.sources()
	stale := f.needsFresherSource(t)
	if len(hosts) == 0 || t.rank == 0 && !stale {
		return errNoSource
	}
	if stale {
		wait = 0
	}
	err := f.followHost(ctx, hosts[f.followFailures()%len(hosts)], wait)
	if err == nil && f.needsFresherSource(t) {
		err = errStaleSource
	}
	f.recordFollow(err)
	return err
}

// needsFresherSource reports whether the host that is followed, or the store in the
// case of the first host, does not keep this one fresh.
func (f *Feed) needsFresherSource(t tree) bool {
	if t.rank > 0 {
		return f.age() > maxSourceAge
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now().Sub(f.synced) > maxRootSyncAge
}

// age returns the time since this host was fresh.
func (f *Feed) age() time.Duration {
	return f.Clock.Now().Sub(f.FreshAt())
}

// followFailures returns the number of failed attempts since the last success.
func (f *Feed) followFailures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failedFollows
}

// recordFollow records the result of an attempt.
func (f *Feed) recordFollow(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.failedFollows = 0
		return
	}
	f.failedFollows++
	f.count("followFailed")
}

func (f *Feed) followHost(ctx context.Context, id cove.HostID, wait time.Duration) error {
	client, err := f.client(id)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	start := f.Clock.Now()
	resp, err := client.Follow(callCtx, &peerpb.FollowRequest{
		Sender:  f.sender(),
		Version: uint64(f.current().version()),
		WaitMs:  uint32(wait.Milliseconds()),
	})
	if err != nil {
		return errors.Wrap(err, "follow")
	}
	if err := f.applyEntries(entriesFromProto(resp.Deltas), nil, string(id)); err != nil {
		return err
	}
	if cove.Version(resp.Version) > f.current().version() {
		if err := f.fetch(ctx, id); err != nil {
			return err
		}
	}
	return f.updateFreshness(resp, start)
}

// updateFreshness adopts the freshness of a peer. The peer's response was made no
// earlier than start plus the time for which the peer held the request.
func (f *Feed) updateFreshness(resp *peerpb.FollowResponse, start time.Time) error {
	cur := f.current()
	if cur.version() < cove.Version(resp.Version) {
		return errGap
	}
	if cur.version() == cove.Version(resp.Version) && !bytes.Equal(resp.Chain, cur.chain[:chainPrefixBytes]) {
		return errForked
	}
	if resp.AgeUs > 0 {
		f.advanceFresh(peerTimestamp(start, resp.HeldUs, resp.AgeUs))
	}
	if resp.SyncedAgeUs > 0 {
		f.advanceSynced(peerTimestamp(start, resp.HeldUs, resp.SyncedAgeUs))
	}
	return nil
}

// peerTimestamp returns a time that is not later than the one whose age a peer has
// given in its response.
func peerTimestamp(start time.Time, heldUs, ageUs uint64) time.Time {
	held := float64(heldUs) * (1 - maxClockDrift)
	age := float64(ageUs) * (1 + maxClockDrift)
	return start.Add(time.Duration(held-age) * time.Microsecond)
}

// fetch brings this host to the version of a peer.
func (f *Feed) fetch(ctx context.Context, id cove.HostID) error {
	client, err := f.client(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := client.FetchConfig(ctx, &peerpb.FetchConfigRequest{
		Sender:  f.sender(),
		Version: uint64(f.current().version()),
	})
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	f.count("fetched")
	if len(resp.Snapshot) > 0 {
		return f.applySnapshot(resp.Snapshot, string(id))
	}
	return f.applyEntries(entriesFromProto(resp.Deltas), nil, string(id))
}

// client returns a client without compression: most messages have a few dozen
// bytes, and large deltas and snapshots are compressed already.
func (f *Feed) client(id cove.HostID) (peerpb.ConfigClient, error) {
	hc, base, err := f.Peers.Client(id)
	if err != nil {
		return nil, errors.Wrap(err, "reach peer")
	}
	return peerpb.NewConfigClient(hc, base, connect.WithAcceptCompression("gzip", nil, nil)), nil
}

func (f *Feed) sender() *peerpb.ConfigSender {
	return &peerpb.ConfigSender{
		Protocol:    protocolVersion,
		Host:        string(f.Self.ID),
		Incarnation: f.Self.Incarnation[:],
	}
}

func entriesFromProto(ds []*peerpb.ConfigDelta) []entry {
	out := make([]entry, 0, len(ds))
	for _, d := range ds {
		e := entry{version: cove.Version(d.Version), data: d.Data}
		if len(d.Chain) == len(table.Chain{}) {
			e.chain = table.Chain(d.Chain)
		}
		out = append(out, e)
	}
	return out
}

func deltasToProto(entries []entry) []*peerpb.ConfigDelta {
	out := make([]*peerpb.ConfigDelta, len(entries))
	for i, e := range entries {
		out[i] = &peerpb.ConfigDelta{Version: uint64(e.version), Chain: e.chain[:], Data: e.data}
	}
	return out
}
