package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/config"
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
