package cmds

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/ops/admin"
)

type keyCmd struct {
	Give     keyGiveCmd     `cmd:"" help:"Make a key for a team. It is shown once."`
	Withdraw keyWithdrawCmd `cmd:"" help:"Withdraw a key and wait until it is refused everywhere."`
	List     keyListCmd     `cmd:"" help:"List the names of the keys."`
}

type keyGiveCmd struct {
	Team cove.Team `arg:"" help:"Team."`
	Name string    `arg:"" help:"Name of the key for operators."`
}

func (c *keyGiveCmd) Run(e *env) error {
	resp, err := e.client.GiveKey(e.ctx, admin.KeyRequest{Team: c.Team, Name: c.Name})
	if err != nil {
		return err
	}
	if err := e.print(resp, func(w io.Writer) { fmt.Fprintln(w, resp.Key) }); err != nil {
		return err
	}
	return e.awaitInForce(resp.Version)
}

type keyWithdrawCmd struct {
	Team cove.Team `arg:"" help:"Team."`
	Name string    `arg:"" help:"Name of the key."`
}

func (c *keyWithdrawCmd) Run(e *env) error {
	resp, err := e.client.WithdrawKey(e.ctx, admin.KeyRequest{Team: c.Team, Name: c.Name})
	if err != nil {
		return err
	}
	if err := e.print(resp, func(w io.Writer) { fmt.Fprintf(w, "withdrawn in version %d\n", resp.Version) }); err != nil {
		return err
	}
	return e.awaitInForce(resp.Version)
}

type keyListCmd struct{}

func (c *keyListCmd) Run(e *env) error {
	t, err := e.client.Table(e.ctx)
	if err != nil {
		return err
	}
	return e.print(t.Teams, func(w io.Writer) {
		for _, team := range t.Teams {
			for _, k := range team.Keys {
				fmt.Fprintf(w, "%s\t%s\n", team.Name, k.Name)
			}
		}
	})
}

type poolCmd struct {
	Drain   poolDrainCmd   `cmd:"" help:"Send no new work to a backend server."`
	Undrain poolUndrainCmd `cmd:"" help:"Send work to a backend server again."`
}

type poolDrainCmd struct {
	Pool   cove.PoolName `arg:"" help:"Pool."`
	Server cove.ServerID `arg:"" help:"Backend server."`
}

func (c *poolDrainCmd) Run(e *env) error { return e.drain(c.Pool, c.Server, true) }

type poolUndrainCmd struct {
	Pool   cove.PoolName `arg:"" help:"Pool."`
	Server cove.ServerID `arg:"" help:"Backend server."`
}

func (c *poolUndrainCmd) Run(e *env) error { return e.drain(c.Pool, c.Server, false) }

func (e *env) drain(pool cove.PoolName, server cove.ServerID, drain bool) error {
	resp, err := e.client.Drain(e.ctx, admin.DrainRequest{Pool: pool, Server: server, Drain: drain})
	if err != nil {
		return err
	}
	if err := e.print(resp, func(w io.Writer) { printChanges(w, resp.Changes) }); err != nil {
		return err
	}
	return e.awaitInForce(resp.Version)
}

type hostCmd struct {
	Leave  hostLeaveCmd  `cmd:"" help:"Stop the host of the admin port in an orderly way."`
	Remove hostRemoveCmd `cmd:"" help:"Remove a host that is gone for good, so that its rate shares and slots pass on at once."`
}

type hostLeaveCmd struct{}

func (c *hostLeaveCmd) Run(e *env) error {
	if err := e.client.Leave(e.ctx); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "leaving")
	return nil
}

type hostRemoveCmd struct {
	Domain cove.Domain `arg:"" help:"Failure domain of the host."`
	Host   cove.HostID `arg:"" help:"Host. Its process must have ended."`
}

func (c *hostRemoveCmd) Run(e *env) error {
	if err := e.client.Remove(e.ctx, admin.RemoveRequest{Host: c.Host, Domain: c.Domain}); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "removed")
	return nil
}

type statusCmd struct {
	All bool `help:"Ask all hosts, not only the one of the admin port." negatable:"" default:"true"`
}

func (c *statusCmd) Run(e *env) error {
	hosts, err := e.client.Status(e.ctx, c.All)
	if err != nil {
		return err
	}
	return e.print(hosts, func(w io.Writer) { printStatus(w, hosts) })
}

func printStatus(w io.Writer, hosts []admin.Status) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "HOST\tDOMAIN\tVERSION\tREADY\tFRESH\tUPTIME\tNOTE")
	for _, h := range hosts {
		if h.Error != "" {
			fmt.Fprintf(tw, "%s\t%s\t-\t-\t-\t-\tnot reached: %s\n", h.Host, h.Domain, h.Error)
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\t%s\t\n", h.Host, h.Domain, h.Version,
			yesNo(h.Ready), yesNo(h.Fresh), time.Duration(h.Uptime).Round(time.Second))
	}
	flush(tw)
	for _, h := range hosts {
		printHost(w, h)
	}
}

func printHost(w io.Writer, h admin.Status) {
	if len(h.Pools) == 0 && len(h.Shares) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\n", h.Host)
	tw := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
	for _, p := range h.Pools {
		fmt.Fprintf(tw, "  pool %s\t%s %s\t%s\n", p.Pool, p.Domain, p.Host, p.CapacitySummary())
	}
	for _, s := range h.Shares {
		fmt.Fprintf(tw, "  team %s\t%.1f requests/s\tburst %.1f\tborrowed %.1f\tlent %.1f\n", s.Team, s.Rate, s.Burst, s.Borrowed, s.Lent)
	}
	flush(tw)
}

func flush(tw *tabwriter.Writer) {
	// The writers of a command report their own errors at exit.
	_ = tw.Flush()
}

type explainCmd struct {
	Host   string `help:"Host header of the request." placeholder:"NAME"`
	Path   string `help:"Path of the request." default:"/"`
	Method string `help:"Method of the request." default:"GET"`
	Key    string `help:"Key of the caller." env:"TURMERICCOVE_KEY"`
	Addr   string `help:"Address of the caller." placeholder:"IP"`
}

func (c *explainCmd) Run(e *env) error {
	x, err := e.client.Explain(e.ctx, url.Values{
		"host": {c.Host}, "path": {c.Path}, "method": {c.Method}, "key": {c.Key}, "addr": {c.Addr},
	})
	if err != nil {
		return err
	}
	return e.print(x, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		for _, s := range x.Steps {
			fmt.Fprintf(tw, "%s\t%s\t%s\n", s.Name, s.Result, s.Reason)
		}
		flush(tw)
	})
}

type eventsCmd struct {
	Since  time.Duration `help:"How far to go back." default:"10m"`
	Kind   string        `help:"Only events whose kind starts with this."`
	Follow bool          `help:"Go on with new events." short:"f"`
}

// followPoll is the interval at which events are followed.
const followPoll = 500 * time.Millisecond

func (c *eventsCmd) Run(e *env) error {
	since := time.Now().Add(-c.Since)
	for {
		events, err := e.client.Events(e.ctx, since, c.Kind)
		if err != nil {
			return err
		}
		if err := e.print(events, func(w io.Writer) { printEvents(w, events) }); err != nil {
			return err
		}
		if !c.Follow {
			return nil
		}
		if n := len(events); n > 0 {
			since = events[n-1].Time.Add(time.Nanosecond)
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(followPoll):
		}
	}
}

func printEvents(w io.Writer, events []cove.Event) {
	for _, ev := range events {
		fmt.Fprintf(w, "%s  %s  %s: %s", ev.Time.Format("15:04:05.000"), ev.Host, ev.Kind, ev.Cause)
		for _, f := range ev.Fields {
			fmt.Fprintf(w, "  %s=%s", f.Name, f.Value)
		}
		fmt.Fprintln(w)
	}
}
