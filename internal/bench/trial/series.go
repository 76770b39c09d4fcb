package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"turmericcove.org/cove/internal/bench/load"
)

// Series is the course of a run by second.
type Series struct {
	Title   string
	OK      []float64
	Refused []float64
	P99Ms   []float64
	// PeerBps and PlatformBps are control bytes a second and host without load.
	PeerBps, PlatformBps float64
	// Routes holds the latency by kind of request.
	Routes []RouteLatency
}

// RouteLatency is the latency of one kind of request.
type RouteLatency struct {
	Name         string
	P50Ms, P99Ms float64
}

func (r *run) series() *Series {
	n := int(time.Duration(r.Duration)/time.Second) + 1
	s := &Series{Title: r.Name + " " + r.Deployment + " " + r.Policy, PeerBps: r.peerBps, PlatformBps: r.platformBps}
	buckets := make([][]load.Record, n)
	for _, rec := range r.main {
		i := min(int(rec.Sent/time.Second), n-1)
		buckets[i] = append(buckets[i], rec)
	}
	for _, b := range buckets {
		ok, refused := 0.0, 0.0
		for i := range b {
			if b[i].OK() {
				ok++
			}
			if b[i].Reason != "" {
				refused++
			}
		}
		_, p99 := quantiles(b, r.measured)
		s.OK = append(s.OK, ok)
		s.Refused = append(s.Refused, refused)
		s.P99Ms = append(s.P99Ms, p99)
	}
	for i, shape := range r.offer.shapes {
		p50, p99 := quantiles(r.main, func(rec *load.Record) bool { return rec.Shape == i })
		name := string(shape.Route)
		if shape.Keyed {
			name += " with key"
		}
		s.Routes = append(s.Routes, RouteLatency{Name: name, P50Ms: p50, P99Ms: p99})
	}
	return s
}

// WriteText writes one line a second and one for each kind of request.
func (s *Series) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "second\tanswered\trefused\tp99 ms\t")
	for i := range s.OK {
		fmt.Fprintf(tw, "%d\t%.0f\t%.0f\t%.1f\t\n", i, s.OK[i], s.Refused[i], s.P99Ms[i])
	}
	for _, l := range s.Routes {
		fmt.Fprintf(tw, "%s\tp50 %.1f ms\tp99 %.1f ms\t\n", l.Name, l.P50Ms, l.P99Ms)
	}
	fmt.Fprintf(tw, "control\tpeers %.0f B/s\tplatform %.0f B/s\t\n", s.PeerBps, s.PlatformBps)
	return errors.Wrap(tw.Flush(), "write course")
}

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Save writes the series as an SVG file.
func (s *Series) Save(name string) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = "second of the run"
	p.Y.Label.Text = "requests/s, p99 in ms"
	p.Y.Min = 0
	err := plotutil.AddLines(p, "answered", points(s.OK), "refused", points(s.Refused), "p99 (ms)", points(s.P99Ms))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, name), "save plot")
}

func points(ys []float64) plotter.XYs {
	out := make(plotter.XYs, len(ys))
	for i, y := range ys {
		out[i] = plotter.XY{X: float64(i), Y: y}
	}
	return out
}
