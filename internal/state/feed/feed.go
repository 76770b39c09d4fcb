// Package feed distributes the versions of the tables: it commits changes to
// the platform's table service and brings every accepted version to every host.
//
// # Distribution
//
// The live hosts of a failure domain, in order of their ids, form a tree in
// which each host has at most followFanout children. The root reads the row
// config/head; every other host keeps one request open at its parent, which
// answers when there is a newer version. So the cost for a host does not
// depend on the number of hosts. A committing host notifies the roots directly.
//
// # Freshness
//
// The time at which a host last knew that it would have seen any accepted
// change is passed down the same tree, measured from before each request was
// sent. The root verifies it with a commit that only checks the revision of
// config/head, because a plain read may return an older state.
package feed

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/state/table"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// Config holds what a Feed depends on. All fields are required.
type Config struct {
	Self     cove.Self
	Clock    cove.Clock
	Rows     cove.TableStore
	Objects  cove.ObjectStore
	Members  cove.Members
	Peers    cove.Peers
	Gossip   cove.Gossip
	Events   cove.Events
	Counters cove.Counters
}

// entry is a version in its stored and transmitted form.
type entry struct {
	version cove.Version
	chain   table.Chain
	data    []byte
}

// state is a version in force. It is immutable.
type state struct {
	table *cove.Table
	chain table.Chain
	// format is the highest format that the table was read from.
	format int
}

func (s state) version() cove.Version {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Feed holds the table in force of this host.
type Feed struct {
	Config

	group *group.Group
	seq   atomic.Uint64
	// background runs a task concurrently with the caller.
	background func(ctx context.Context, fn func(ctx context.Context))

	// publishMu is held while a version is put in force, so that watchers see
	// versions in order.
	publishMu sync.Mutex
	watchers  []func(*cove.Table)

	mu               sync.Mutex
	cur              state
	floor            cove.Version // the lowest version that may be in force
	log              []entry      // the newest versions without a gap, up to cur
	logSize          int
	changed          chan struct{} // closed when cur changes or fresh advances by minFreshJump
	freshJumps       int
	fresh            time.Time
	synced           time.Time // like fresh, but only by contact with the store
	encodedSnap      []byte    // cur as an encoded snapshot, if a peer has requested it
	store            storeView
	announcedVersion cove.Version // a newer version announced at the last poll
	failedFollows    int          // failed attempts to follow since the last success
	seenDomains      map[cove.Domain]bool
	note             publishedNote
}

var (
	_ cove.Tables  = (*Feed)(nil)
	_ cove.Service = (*Feed)(nil)
)

// New returns a feed and registers its handler on the peer port.
func New(cfg Config) *Feed {
	f := &Feed{Config: cfg, changed: make(chan struct{}), seenDomains: make(map[cove.Domain]bool)}
	f.group = group.New(context.Background())
	f.background = f.startTask
	cfg.Peers.Handle(peerpb.NewConfigHandler(&server{feed: f}, connect.WithCompression("gzip", nil, nil)))
	return f
}

// Name implements cove.Service.
func (f *Feed) Name() string { return "feed" }

// Start asks peers and the store for the newest version and then starts the
// tasks that follow it. A host that reaches neither starts without a table.
func (f *Feed) Start(ctx context.Context) error {
	f.load(ctx)
	f.group.Go(f.pollLoop)
	f.group.Go(f.followLoop)
	f.group.Go(f.maintainLoop)
	return nil
}

// Stop implements cove.Service.
func (f *Feed) Stop(ctx context.Context) error {
	return errors.Wrap(f.group.Stop(ctx), "stop feed")
}

// Current implements cove.Tables.
func (f *Feed) Current() *cove.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cur.version() < f.floor {
		return nil
	}
	return f.cur.table
}

// Ready reports whether this host has a table.
func (f *Feed) Ready() bool { return f.Current() != nil }

// current returns the newest version that this host knows. It is in force unless
// it is below the floor, which is possible only while the host starts.
func (f *Feed) current() state {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cur
}

// Watch implements cove.Tables.
func (f *Feed) Watch(fn func(*cove.Table)) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.watchers = append(f.watchers, fn)
	if t := f.Current(); t != nil {
		fn(t)
	}
}

// token returns a token that no other commit uses.
func (f *Feed) token() string {
	return f.Self.Incarnation.String() + "-config-" + strconv.FormatUint(f.seq.Add(1), 10)
}

func (f *Feed) count(name string) { f.Counters.Add("config."+name, 1) }
