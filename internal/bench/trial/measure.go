package trial

import (
	"strings"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fleet"
	"turmericcove.org/cove/internal/bench/load"
	"turmericcove.org/cove/internal/bench/server"
)

const (
	// drainBound is the time in which work to a leaving server must end.
	drainBound = 2 * time.Second
	// overSlots is the wait for a slot above which a run counts as above the
	// slots. A host learns of the end of a request when its answer arrives,
	// which can be just before the server has freed the slot.
	overSlots = 3 * time.Millisecond
	// edge is how far the start of a run can lie from its admission; runs so
	// close to the border of a second may count in either.
	edge = 100 * time.Millisecond

	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
)

// counters add up the refusals and retries of all hosts.
type counters struct {
	mu sync.Mutex
	m  map[string]int64
}

// addHost takes up the counters of a host before it ends.
func (c *counters) addHost(h *fleet.Host) {
	d := h.Daemon()
	if d == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = make(map[string]int64)
	}
	for name, v := range d.Counters() {
		c.m[name] += v
	}
}

func (c *counters) withPrefix(prefix string) map[string]int64 {
	out := make(map[string]int64)
	for name, v := range c.m {
		if rest, ok := strings.CutPrefix(name, prefix); ok && v > 0 {
			out[rest] = v
		}
	}
	return out
}

// tally is what the backend servers ran.
type tally struct {
	runs   int
	byID   map[string]int
	byKey  map[string]int
	over   int
	leaked int
	busy   time.Duration
	slots  int
	last   map[cove.ServerID]time.Time
	late   int
	perSec map[int64][2]int
}

func (r *run) tally() tally {
	t := tally{byID: map[string]int{}, byKey: map[string]int{}, last: map[cove.ServerID]time.Time{}, perSec: map[int64][2]int{}}
	for _, p := range r.fleet.Table.Pools {
		for _, row := range p.Servers {
			t.addServer(r, p.Name, row, r.fleet.Servers[row.ID])
		}
	}
	return t
}

func (t *tally) addServer(r *run, pool cove.PoolName, row cove.Server, s *server.Server) {
	t.slots += row.Slots
	t.leaked += len(s.LeakedKeys())
	drained, isDrained := r.marks.drained[row.ID]
	for _, x := range s.Runs() {
		if x.Start.Before(r.start) {
			continue
		}
		t.addRun(x)
		if strings.HasSuffix(string(pool), cutoverSuffix) {
			t.addSecond(x.Start)
		}
		if isDrained && x.Start.After(drained) {
			t.last[row.ID] = x.Start
			if x.Start.Sub(drained) > drainBound {
				t.late++
			}
		}
	}
}

func (t *tally) addRun(x server.Run) {
	t.runs++
	id, _, _ := strings.Cut(x.RequestID, ".")
	t.byID[id]++
	if x.Key != "" {
		t.byKey[x.Key]++
	}
	if x.Waited > overSlots {
		t.over++
	}
	if !x.End.IsZero() {
		t.busy += x.End.Sub(x.Start)
	}
}

// addSecond counts a run in its second, and separately when it lies at its
// beginning.
func (t *tally) addSecond(at time.Time) {
	sec := at.Unix()
	n := t.perSec[sec]
	n[0]++
	if at.Sub(time.Unix(sec, 0)) < edge {
		n[1]++
	}
	t.perSec[sec] = n
}

// capExcess returns by how much the worst second exceeds the one before plus
// the cap, giving runs at a border to whichever second is better for it.
func (t *tally) capExcess(limit int) float64 {
	worst := 0
	for sec, n := range t.perSec {
		before := t.perSec[sec-1][0] + n[1]
		worst = max(worst, n[0]-n[1]-before-limit)
	}
	return float64(worst)
}

func newHistogram() *hdr.Histogram {
	return hdr.New(1, maxLatencyMicros, histogramDigits)
}

// quantiles returns p50 and p99 in milliseconds of answered requests.
func quantiles(records []load.Record, keep func(*load.Record) bool) (p50, p99 float64) {
	h := newHistogram()
	for i := range records {
		rec := &records[i]
		if !rec.OK() || !keep(rec) {
			continue
		}
		// Values above the range are recorded as the largest one.
		_ = h.RecordValue(min((rec.Ended - rec.Sent).Microseconds(), maxLatencyMicros))
	}
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000
}
