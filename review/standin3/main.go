// Command standin3 plays the script cases of the third review: it starts entry hosts with
// the command of the deploy file and stand-ins of the store, the workers and the clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime bounds a run.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin3 deadly|limit|copy|odd RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, file string) int {
	scenarios := map[string]func(context.Context, *world) (bool, error){"deadly": deadly, "limit": limit, "copy": restoredCopy, "odd": odd}
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Println("no such case")
		return failed
	}
	out, err := os.Create(file)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	dir, err := os.MkdirTemp("", "standin3")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	w := newWorld(dir, out)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	defer w.stopHosts()
	kept, err := scenario(ctx, w)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	switch {
	case err != nil || ctx.Err() != nil:
		fmt.Println("could not run:", err, ctx.Err())
		return failed
	case kept:
		return held
	}
	return broken
}
