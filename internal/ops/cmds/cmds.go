// Package cmds is the command line of turmericcove.
package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/jsonc"
	"turmericcove.org/cove/internal/ops/admin"
)

// Exit codes of the command line.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means wrong arguments, settings or tables.
	ExitUsage = 2
	// ExitConflict means that the tables changed since the base version.
	ExitConflict = 3
	// ExitUnconfirmed means that a change is committed, but not all hosts have
	// confirmed it in time.
	ExitUnconfirmed = 4
)

// commands is the grammar of the command line.
type commands struct {
	Admin  string `help:"Admin port of a host." default:"127.0.0.1:9001" env:"TURMERICCOVE_ADMIN" placeholder:"ADDR"`
	Output string `help:"Format of results: text or json." enum:"text,json" default:"text"`

	Serve   serveCmd   `cmd:"" help:"Run an entry host."`
	Entry   entryCmd   `cmd:"" help:"Run an entry host on the users' platform."`
	Check   checkCmd   `cmd:"" help:"Check a settings file or a table file."`
	Demo    demoCmd    `cmd:"" help:"Run a whole deployment in one process and send requests of each kind."`
	Cert    certCmd    `cmd:"" help:"Make certificates for the ports between hosts."`
	Table   tableCmd   `cmd:"" help:"Read and change the tables."`
	Key     keyCmd     `cmd:"" help:"Give, withdraw and list keys."`
	Pool    poolCmd    `cmd:"" help:"Drain backend servers."`
	Host    hostCmd    `cmd:"" help:"Stop or remove entry hosts."`
	Status  statusCmd  `cmd:"" help:"Show hosts, versions, shares and pools."`
	Explain explainCmd `cmd:"" help:"Tell why a request goes where it goes."`
	Events  eventsCmd  `cmd:"" help:"Show changes of state of all hosts, by time."`
	Story   storyCmd   `cmd:"" help:"Tell what the logs say of one request."`

	Completion completionCmd `cmd:"" help:"Print a completion script for a shell."`
}

// env is what a command needs from its surroundings.
type env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	client *admin.Client
	json   bool
}

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// Run runs one command and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("turmericcove"),
		kong.Description("Global traffic steering: entry hosts that bring requests to backend servers."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	k, err := parser.Parse(DoubleDashes(args))
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(errOut, "turmericcove: %v\n", err)
		return ExitUsage
	}
	e := &env{ctx: ctx, out: out, errOut: errOut, json: c.Output == "json"}
	e.client = &admin.Client{Base: "http://" + c.Admin}
	return exitCode(k.Run(e), errOut)
}

// DoubleDashes accepts long flags with one dash, as the Go tools do.
func DoubleDashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var faults jsonc.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(errOut, faults.Error())
		return ExitUsage
	}
	fmt.Fprintf(errOut, "turmericcove: %v\n", err)
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.code
	}
	return callExitCode(err, errOut)
}

// callExitCode prints the details of a refusal of the admin port.
func callExitCode(err error, errOut io.Writer) int {
	var ce *admin.CallError
	if !errors.As(err, &ce) {
		return ExitFailed
	}
	for _, f := range ce.Body.Faults {
		fmt.Fprintln(errOut, "  "+f)
	}
	for _, ch := range ce.Body.Changes {
		fmt.Fprintln(errOut, "  "+ch)
	}
	switch ce.Status {
	case 409:
		return ExitConflict
	case 422:
		return ExitUsage
	default:
		return ExitFailed
	}
}

// print writes v as JSON, or calls text.
func (e *env) print(v any, text func(w io.Writer)) error {
	if !e.json {
		text(e.out)
		return nil
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write result")
}

func age(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func join[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, ", ")
}
