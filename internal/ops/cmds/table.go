package cmds

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/ops/admin"
	"turmericcove.org/cove/internal/state/table"
)

type tableCmd struct {
	Get     tableGetCmd     `cmd:"" help:"Print the tables in force."`
	Diff    tableDiffCmd    `cmd:"" help:"Show what a file would change."`
	Apply   tableApplyCmd   `cmd:"" help:"Commit the tables of a file."`
	History tableHistoryCmd `cmd:"" help:"List the newest commits."`
	Restore tableRestoreCmd `cmd:"" help:"Commit an earlier version again, as a new one."`
	Repair  tableRepairCmd  `cmd:"" help:"Write the version in force back to a store that has lost it."`
}

type tableGetCmd struct{}

func (c *tableGetCmd) Run(e *env) error {
	t, err := e.client.Table(e.ctx)
	if err != nil {
		return err
	}
	// The tables are always JSON, so that the output can be edited and applied.
	e.json = true
	return e.print(t, nil)
}

type tableDiffCmd struct {
	File string `arg:"" help:"Table file (JSON with comments)."`
}

func (c *tableDiffCmd) Run(e *env) error {
	t, err := readTable(c.File)
	if err != nil {
		return err
	}
	resp, err := e.client.Apply(e.ctx, admin.ApplyRequest{Table: t, DryRun: true})
	if err != nil {
		return err
	}
	return e.print(resp, func(w io.Writer) { printChanges(w, resp.Changes) })
}

type tableApplyCmd struct {
	File string       `arg:"" help:"Table file (JSON with comments)."`
	Base cove.Version `help:"Version on which the file is based. Default: the version in the file, or the one in force."`
	Wait bool         `help:"Wait until all hosts have the change in force." negatable:"" default:"true"`
}

func (c *tableApplyCmd) Run(e *env) error {
	t, err := readTable(c.File)
	if err != nil {
		return err
	}
	base := c.Base
	if base == 0 {
		base = t.Version
	}
	if base == 0 {
		cur, err := e.client.Table(e.ctx)
		if err != nil {
			return err
		}
		base = cur.Version
	}
	resp, err := e.client.Apply(e.ctx, admin.ApplyRequest{Base: base, Table: t})
	if err != nil {
		return err
	}
	if err := e.print(resp, func(w io.Writer) {
		printChanges(w, resp.Changes)
		fmt.Fprintf(w, "committed version %d\n", resp.Version)
	}); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return e.awaitInForce(resp.Version)
}

type tableHistoryCmd struct {
	Limit int `help:"Number of commits." default:"20"`
}

func (c *tableHistoryCmd) Run(e *env) error {
	commits, err := e.client.History(e.ctx, c.Limit)
	if err != nil {
		return err
	}
	return e.print(commits, func(w io.Writer) {
		for _, ci := range commits {
			fmt.Fprintf(w, "version %d  %s  %s\n", ci.Version, ci.Time.Format(time.RFC3339), ci.Author)
			printChanges(w, ci.Changes)
		}
	})
}

type tableRepairCmd struct{}

func (c *tableRepairCmd) Run(e *env) error {
	resp, err := e.client.Repair(e.ctx)
	if err != nil {
		return err
	}
	return e.print(resp, func(w io.Writer) { fmt.Fprintf(w, "the store holds version %d\n", resp.Version) })
}

type tableRestoreCmd struct {
	Version cove.Version `help:"Version to commit again. Default: that of the newest snapshot."`
}

func (c *tableRestoreCmd) Run(e *env) error {
	resp, err := e.client.Restore(e.ctx, c.Version)
	if err != nil {
		return err
	}
	if err := e.print(resp, func(w io.Writer) { fmt.Fprintf(w, "committed version %d\n", resp.Version) }); err != nil {
		return err
	}
	return e.awaitInForce(resp.Version)
}

func readTable(name string) (*cove.Table, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: errors.Wrap(err, "read tables")}
	}
	t, err := table.ParseFile(src)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: errors.WithMessage(err, name)}
	}
	if err := table.Validate(t); err != nil {
		return nil, &exitError{code: ExitUsage, err: errors.WithMessage(err, name)}
	}
	return t, nil
}

func printChanges(w io.Writer, changes []string) {
	for _, ch := range changes {
		fmt.Fprintln(w, "  "+ch)
	}
}

const (
	// inForceBound is the time in which a change must be in force everywhere.
	inForceBound = 9 * time.Second
	inForcePoll  = 50 * time.Millisecond
)

// awaitInForce waits until every host has the version in force and reports
// those that have not confirmed it in time.
func (e *env) awaitInForce(v cove.Version) error {
	start := time.Now()
	progress := start.Add(time.Second)
	var last admin.InForce
	for time.Since(start) < inForceBound {
		f, err := e.client.InForce(e.ctx, v)
		if err != nil {
			return err
		}
		if len(f.Missing) == 0 {
			fmt.Fprintf(e.errOut, "in force on %d hosts after %s\n", len(f.Confirmed), age(time.Since(start)))
			return nil
		}
		last = f
		if time.Now().After(progress) {
			fmt.Fprintf(e.errOut, "waiting for %s\n", join(f.Missing))
			progress = time.Now().Add(time.Second)
		}
		time.Sleep(inForcePoll)
	}
	return &exitError{
		code: ExitUnconfirmed,
		err:  errors.Errorf("version %d is committed, but not confirmed by %s", v, join(last.Missing)),
	}
}
