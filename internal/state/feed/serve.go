package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxFollowWait bounds how long a request is held.
	maxFollowWait = 2 * time.Second
	// maxInlineBytes bounds the deltas in an answer to Follow.
	maxInlineBytes = 64 << 10
)

// server answers the requests of other hosts.
type server struct {
	peerpb.UnimplementedConfigHandler
	feed *Feed
}

// Follow implements peerpb.ConfigHandler.
func (s *server) Follow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	f := s.feed
	start := f.Clock.Now()
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxFollowWait)
	if err := f.waitForProgress(ctx, cove.Version(req.Version), wait); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return f.followResponse(cove.Version(req.Version), start), nil
}

// waitForProgress waits until a version above v is known or the fresh time
// jumps, but not longer than wait.
func (f *Feed) waitForProgress(ctx context.Context, v cove.Version, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := f.Clock.NewTimer(wait)
	defer timer.Stop()
	_, before, _ := f.progress()
	for {
		have, jumps, changed := f.progress()
		if have > v || jumps != before {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// progress returns the version, the number of jumps of the fresh time, and the
// channel that is closed when either changes.
func (f *Feed) progress() (cove.Version, int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cur.version(), f.freshJumps, f.changed
}

func (f *Feed) followResponse(v cove.Version, start time.Time) *peerpb.FollowResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	resp := &peerpb.FollowResponse{
		Version: uint64(f.cur.version()),
		HeldUs:  uint64(now.Sub(start).Microseconds()),
		Chain:   f.cur.chain[:chainPrefixBytes],
	}
	resp.AgeUs = ageUs(now, f.fresh)
	resp.SyncedAgeUs = ageUs(now, f.synced)
	if entries, ok := f.sinceLocked(v); ok && dataSize(entries) <= maxInlineBytes {
		resp.Deltas = deltasToProto(entries)
	}
	return resp
}

// ageUs returns the age of t in microseconds, rounded up. Zero means that t is
// unset.
func ageUs(now, t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(0, now.Sub(t).Microseconds())) + 1
}

func dataSize(entries []entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.data)
	}
	return n
}

// FetchConfig implements peerpb.ConfigHandler.
func (s *server) FetchConfig(_ context.Context, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	f := s.feed
	resp := &peerpb.FetchConfigResponse{Version: uint64(f.current().version())}
	if entries, ok := f.since(cove.Version(req.Version)); ok {
		resp.Deltas = deltasToProto(entries)
		return resp, nil
	}
	data, err := f.encodedSnapshot()
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp.Snapshot = data
	return resp, nil
}

// Notify implements peerpb.ConfigHandler.
func (s *server) Notify(ctx context.Context, req *peerpb.NotifyRequest) (*peerpb.NotifyResponse, error) {
	f := s.feed
	f.count("notified")
	var err error
	if req.Delta != nil {
		err = f.applyEntries(entriesFromProto([]*peerpb.ConfigDelta{req.Delta}), nil, req.Sender.GetHost())
	}
	from, authenticated := cove.PeerFrom(ctx)
	if err == nil && cove.Version(req.Version) > f.current().version() || errors.Is(err, errGap) {
		if !authenticated {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no peer"))
		}
		// The transfer may take longer than the sender waits.
		err = f.fetch(context.WithoutCancel(ctx), from)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return &peerpb.NotifyResponse{Version: uint64(f.current().version())}, nil
}

// errNewerFormat means that this release would drop fields that it does not
// know.
var errNewerFormat = errors.New("the tables were written by a newer release")

// encodedSnapshot returns the version in force as a snapshot. It is kept until
// the next version, because several hosts may ask for it.
func (f *Feed) encodedSnapshot() ([]byte, error) {
	f.mu.Lock()
	cur, data := f.cur, f.encodedSnap
	f.mu.Unlock()
	if data != nil {
		return data, nil
	}
	if cur.table == nil {
		return nil, errors.New("no table")
	}
	if cur.format > table.FormatVersion {
		return nil, errNewerFormat
	}
	data, err := table.EncodeSnapshot(cur.table, cur.chain)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cur.chain == cur.chain {
		f.encodedSnap = data
	}
	return data, nil
}
