// Command turmericcove runs entry hosts and operates a fleet of them.
package main

import (
	"context"
	"os"

	"turmericcove.org/cove/internal/ops/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
