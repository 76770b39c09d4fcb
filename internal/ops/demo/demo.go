// Package demo runs a whole deployment in one process and sends requests of
// each kind through it.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fleet"
	"turmericcove.org/cove/internal/ops/admin"
)

const (
	serviceTime = 5 * time.Millisecond
	linger      = 500 * time.Millisecond
	seed        = 1
	// inForceTimeout is the bound for a change to be in force everywhere.
	inForceTimeout = 9 * time.Second
	poll           = 10 * time.Millisecond
)

// Options of a demo.
type Options struct {
	Deployment string
	Hosts      int
	// Keep leaves the fleet running until the context ends.
	Keep bool
	Out  io.Writer
}

// demo is a running demo.
type demo struct {
	Options
	fleet   *fleet.Fleet
	script  script
	client  *http.Client
	keys    map[cove.Team]string
	results []result
}

// result is the outcome of one step.
type result struct {
	name, want, got string
	ok              bool
}

// Run runs the demo and fails unless every step got the right answer.
func Run(ctx context.Context, o Options) error {
	d := &demo{Options: o, keys: make(map[cove.Team]string), client: &http.Client{Timeout: 15 * time.Second}}
	var err error
	if d.script, err = scriptOf(o.Deployment); err != nil {
		return err
	}
	if err := d.startFleet(ctx); err != nil {
		return err
	}
	defer d.fleet.Stop()
	if err := d.steps(ctx); err != nil {
		return err
	}
	failed := d.print()
	if o.Keep {
		d.keep(ctx)
	}
	if failed > 0 {
		return errors.Errorf("%d of %d steps got a wrong answer", failed, len(d.results))
	}
	return nil
}

func (d *demo) startFleet(ctx context.Context) error {
	dep, err := fleet.Load(d.Deployment)
	if err != nil {
		return err
	}
	start := time.Now()
	d.fleet, err = fleet.Start(ctx, fleet.Config{
		Deployment: dep, Hosts: d.Hosts, Seed: seed, ServiceTime: serviceTime, Linger: linger, Logger: logr.Discard(),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "%s: %d entry hosts and %d backend servers ready after %s\n\n",
		d.Deployment, len(d.fleet.Hosts), len(d.fleet.Servers), time.Since(start).Round(time.Millisecond))
	return nil
}

// giveKeys makes a key for each team of the script.
func (d *demo) giveKeys(ctx context.Context) error {
	c := d.fleet.Hosts[0].Admin()
	var last cove.Version
	for _, team := range d.script.teams() {
		resp, err := c.GiveKey(ctx, admin.KeyRequest{Team: team, Name: "demo"})
		if err != nil {
			return errors.WithMessagef(err, "key of %s", team)
		}
		d.keys[team] = resp.Key
		for _, s := range d.fleet.Servers {
			s.DetectKeys(resp.Key)
		}
		last = resp.Version
	}
	return d.awaitInForce(ctx, last)
}

func (d *demo) awaitInForce(ctx context.Context, v cove.Version) error {
	deadline := time.Now().Add(inForceTimeout)
	for {
		behind := d.behind(v)
		if behind == "" {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Errorf("version %d is not in force on %s", v, behind)
		}
		time.Sleep(poll)
	}
}

func (d *demo) behind(v cove.Version) cove.HostID {
	for _, h := range d.fleet.Hosts {
		if h.Running() && h.Daemon().Version() < v {
			return h.ID
		}
	}
	return ""
}

func (d *demo) print() (failed int) {
	tw := tabwriter.NewWriter(d.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "STEP\tWANT\tGOT\tRESULT")
	for _, r := range d.results {
		mark := "ok"
		if !r.ok {
			mark = "WRONG"
			failed++
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", r.name, r.want, r.got, mark)
	}
	if err := tw.Flush(); err != nil {
		return failed + 1
	}
	return failed
}

// keep prints commands to try and waits for the end of ctx.
func (d *demo) keep(ctx context.Context) {
	h := d.fleet.Hosts[0]
	team := d.script.team
	fmt.Fprintf(d.Out, `
The fleet goes on running. Try:

  curl -s '%[1]s/.cove/lookup?addr=127.0.0.1'
  curl -s -H 'Authorization: Bearer %[2]s' %[1]s%[3]s
  curl -s %[1]s%[4]s
  curl -si -H 'Authorization: Bearer wrong' %[1]s%[3]s
  export TURMERICCOVE_ADMIN=%[5]s
  go run ./cmd/turmericcove status
  go run ./cmd/turmericcove events
  go run ./cmd/turmericcove explain -path %[3]s -key %[2]s -addr 127.0.0.1
  go run ./cmd/turmericcove key withdraw %[6]s demo

Admin ports:
`, h.URL(), d.keys[team], d.script.read, d.script.open, h.AdminAddr(), team)
	for _, h := range d.fleet.Hosts {
		fmt.Fprintf(d.Out, "  %s  http://%s  callers %s\n", h.ID, h.AdminAddr(), h.URL())
	}
	<-ctx.Done()
}
