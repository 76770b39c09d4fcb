// Command standin2 runs the cases of the second review that are scripts. It starts
// the deployed program as separate processes on loopback addresses, with small
// stand-ins of the platform's store, the workers and the clients, and judges what
// these see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// runLimit ends a case that hangs.
const runLimit = 115 * time.Second

// cases holds the cases by name. Each reports whether the rule held.
var cases = map[string]func(context.Context, *world, bool) (held bool, err error){
	"poison":   runPoison,
	"restored": runRestored,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/turmericcove", "program of the deploy file")
	dir := flag.String("dir", "", "temporary folder")
	record := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	fn := cases[*name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCantRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w, err := newWorld(ctx, *program, *dir, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer w.close()
	held, err := fn(ctx, w, *trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		w.note("can't run: %v", err)
		return exitCantRun
	case held:
		w.note("the rule held")
		return exitHeld
	}
	w.note("the rule was broken")
	return exitBroken
}
