// Command covebench loads and measures small fleets of turmericcove, and runs
// stand-ins of the systems around them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/trial"
	"turmericcove.org/cove/internal/ops/cmds"
)

type commands struct {
	Run      runCmd      `cmd:"" help:"Run a case: a built-in one or a case file."`
	Compare  compareCmd  `cmd:"" help:"Print reports side by side."`
	Fuzz     fuzzCmd     `cmd:"" help:"Run random cases and print the shortest one that breaks a guarantee."`
	Soak     soakCmd     `cmd:"" help:"Run entry hosts as processes under planned stops and check that no request is lost."`
	Cases    casesCmd    `cmd:"" help:"List the built-in cases."`
	Platform platformCmd `cmd:"" help:"Run the stand-in of the platform."`
	Backend  backendCmd  `cmd:"" help:"Run the stand-in of a backend server."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	parser := kong.Must(&c, kong.Name("covebench"), kong.Description("Measuring tool of turmericcove."), kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(cmds.DoubleDashes(os.Args[1:]))
	parser.FatalIfErrorf(err)
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "covebench: %v\n", err)
		os.Exit(1)
	}
}

type runCmd struct {
	Case       string        `arg:"" help:"Case or case file."`
	Deployment string        `help:"Deployment." enum:"hyllkant,hollowbrook" default:"hyllkant"`
	Seed       uint64        `help:"Seed of the load and the faults." default:"1"`
	Duration   time.Duration `help:"Length of the load, 60s at most."`
	Load       float64       `help:"Load as a share of the capacity."`
	Policy     string        `help:"Policy: ours or a baseline." enum:"ours,random,roundRobin,leastOutstanding,staticShares" default:"ours"`
	Output     string        `help:"Format of the report." enum:"text,json" default:"text"`
	Course     bool          `help:"Also print the course of the run by second."`
	Plot       string        `help:"Write the course of the run to an SVG file." placeholder:"FILE"`
}

func (c *runCmd) Run(ctx context.Context) error {
	cs, err := trial.Load(c.Case)
	if err != nil {
		return err
	}
	if c.Duration > trial.MaxDuration {
		return errors.Errorf("a run takes at most %s", trial.MaxDuration)
	}
	if c.Duration > 0 {
		cs.Duration = cove.Duration(c.Duration)
	}
	if c.Load > 0 {
		cs.Load = c.Load
	}
	report, series, err := trial.Run(ctx, cs, trial.Options{
		Deployment: c.Deployment, Seed: c.Seed, Policy: c.Policy, Logger: logr.Discard(),
	})
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if c.Course {
		if err := series.WriteText(os.Stdout); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := series.Save(c.Plot); err != nil {
			return err
		}
	}
	if broken := report.Broken(); len(broken) > 0 {
		for _, d := range report.Details() {
			fmt.Fprintln(os.Stderr, d)
		}
		return errors.Errorf("guarantees broken: %v", broken)
	}
	return nil
}

func (c *runCmd) print(r *trial.Report) error {
	if c.Output == "text" {
		return r.WriteText(os.Stdout)
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

type compareCmd struct {
	Files []string `arg:"" help:"Reports as JSON files."`
}

func (c *compareCmd) Run() error {
	var reports []*trial.Report
	for _, name := range c.Files {
		b, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "read report")
		}
		r := new(trial.Report)
		if err := json.Unmarshal(b, r); err != nil {
			return errors.Wrap(err, name)
		}
		reports = append(reports, r)
	}
	return trial.Compare(os.Stdout, reports...)
}

type casesCmd struct{}

func (c *casesCmd) Run() error {
	for _, name := range trial.Names() {
		fmt.Println(name)
	}
	return nil
}

type fuzzCmd struct {
	Deployment string        `help:"Deployment." enum:"hyllkant,hollowbrook" default:"hyllkant"`
	Seed       uint64        `help:"Seed of the first case." default:"1"`
	Time       time.Duration `help:"How long to go on." default:"1m"`
}

func (c *fuzzCmd) Run(ctx context.Context) error {
	return trial.Fuzz(ctx, trial.FuzzOptions{
		Deployment: c.Deployment, Seed: c.Seed, Time: c.Time, Out: os.Stdout,
	})
}
