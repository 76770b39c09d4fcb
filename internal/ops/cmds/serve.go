package cmds

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/config"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/core/lines"
	"turmericcove.org/cove/internal/fleet/peer"
	"turmericcove.org/cove/internal/ops/demo"
	"turmericcove.org/cove/internal/ops/entry"
	"turmericcove.org/cove/platform"
)

const (
	startTimeout = 30 * time.Second
	// authorityLife and hostCertLife are how long certificates are valid.
	authorityLife = 10 * 365 * 24 * time.Hour
	hostCertLife  = 90 * 24 * time.Hour
)

type checkCmd struct {
	File   string `arg:"" help:"Settings file, or table file with -tables."`
	Tables bool   `help:"The file holds tables."`
}

func (c *checkCmd) Run(e *env) error {
	if c.Tables {
		if _, err := readTable(c.File); err != nil {
			return err
		}
		fmt.Fprintln(e.out, "tables are valid")
		return nil
	}
	if _, err := config.Load(c.File); err != nil {
		return usageError(err)
	}
	fmt.Fprintln(e.out, "settings are valid")
	return nil
}

func usageError(err error) error {
	return &exitError{code: ExitUsage, err: err}
}

// entryCmd takes its settings from the platform.
type entryCmd struct {
	MetricsPort uint16 `help:"Port on which the counters are served, at /metrics; 0 serves none."`
}

func (c *entryCmd) Run(e *env) error {
	return platform.Serve(e.ctx, e.out, c.MetricsPort)
}

type certCmd struct {
	Init certInitCmd `cmd:"" help:"Make a certificate authority in a folder."`
	Host certHostCmd `cmd:"" help:"Make a certificate for a host, signed by the authority."`
}

type certInitCmd struct {
	Dir string `arg:"" help:"Folder for ca.pem and ca-key.pem."`
}

type certHostCmd struct {
	Dir string      `arg:"" help:"Folder with ca.pem and ca-key.pem."`
	ID  cove.HostID `arg:"" help:"Host."`
}

func makeDir(dir string) error {
	return errors.Wrap(os.MkdirAll(dir, 0o700), "make folder")
}

func (c *certInitCmd) Run(e *env) error {
	if err := makeDir(c.Dir); err != nil {
		return err
	}
	a, err := peer.NewAuthority(time.Now(), authorityLife)
	if err != nil {
		return err
	}
	if err := a.KeyPair().WriteFiles(filepath.Join(c.Dir, "ca.pem"), filepath.Join(c.Dir, "ca-key.pem")); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "wrote", filepath.Join(c.Dir, "ca.pem"))
	return nil
}

func (c *certHostCmd) Run(e *env) error {
	a, err := peer.LoadAuthority(filepath.Join(c.Dir, "ca.pem"), filepath.Join(c.Dir, "ca-key.pem"))
	if err != nil {
		return err
	}
	pair, err := a.Issue(c.ID, time.Now(), hostCertLife)
	if err != nil {
		return err
	}
	cert := filepath.Join(c.Dir, string(c.ID)+".pem")
	if err := pair.WriteFiles(cert, filepath.Join(c.Dir, string(c.ID)+"-key.pem")); err != nil {
		return err
	}
	fmt.Fprintln(e.out, "wrote", cert)
	return nil
}

type serveCmd struct {
	File string `arg:"" help:"Settings file."`
}

func (c *serveCmd) Run(e *env) error {
	s, err := config.Load(c.File)
	if err != nil {
		return usageError(err)
	}
	// A closed standard error must not end the process with its requests.
	signal.Ignore(syscall.SIGPIPE)
	w := &lines.Writer{Out: e.errOut}
	// Lines that errOut does not take in time are lost.
	defer func() { _ = w.Close() }()
	d, err := entry.New(s, entry.Options{Logger: newLogger(s.Log, w)})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithTimeout(e.ctx, startTimeout)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-d.LeaveRequested():
	case <-e.ctx.Done():
	}
	return c.stop(d, s, signals)
}

// stop ends the daemon in order. A second signal cuts what still runs.
func (c *serveCmd) stop(d *entry.Daemon, s *config.Settings, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Stop.Linger+s.Stop.Grace))
	defer cancel()
	var tasks group.Group
	tasks.Go(func(context.Context) error {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err := d.Stop(ctx)
	cancel()
	// The task returns no error.
	_ = tasks.Wait()
	return err
}

func newLogger(l config.Log, w io.Writer) logr.Logger {
	opts := &slog.HandlerOptions{Level: slog.Level(-l.Verbosity)}
	if l.Format == "json" {
		return logr.FromSlogHandler(slog.NewJSONHandler(w, opts))
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, opts))
}

type demoCmd struct {
	Deployment string `help:"Deployment: hyllkant or hollowbrook." enum:"hyllkant,hollowbrook" default:"hyllkant"`
	Hosts      int    `help:"Number of entry hosts." default:"8"`
	Keep       bool   `help:"Leave the fleet running until interrupted."`
}

func (c *demoCmd) Run(e *env) error {
	ctx, stop := signal.NotifyContext(e.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return demo.Run(ctx, demo.Options{Deployment: c.Deployment, Hosts: c.Hosts, Keep: c.Keep, Out: e.out})
}
