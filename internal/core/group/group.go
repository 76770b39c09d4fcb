// Package group runs goroutines that are canceled and awaited together.
package group

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// panicHandler is set by HandlePanics.
var panicHandler atomic.Pointer[func(v any, stack []byte)]

// HandlePanics sets the function that is called after a panic in a goroutine of any
// group, with its value and stack. Only that goroutine ends then. Without a function
// (nil) a panic ends the process.
func HandlePanics(fn func(v any, stack []byte)) {
	if fn == nil {
		panicHandler.Store(nil)
		return
	}
	panicHandler.Store(&fn)
}

// Group runs goroutines under one context. The zero value is ready to use and
// runs them under the background context.
type Group struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	err    error
}

// New returns a group whose goroutines run under a child of ctx.
func New(ctx context.Context) *Group {
	g := new(Group)
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// Context returns the context of the group's goroutines. It is canceled with
// the group.
func (g *Group) Context() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx == nil {
		g.ctx, g.cancel = context.WithCancel(context.Background())
	}
	return g.ctx
}

// Go runs fn in a goroutine. The first error other than context.Canceled
// cancels the group.
func (g *Group) Go(fn func(ctx context.Context) error) {
	ctx := g.Context()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		// A panic that is not recovered prints the stack of its cause.
		if handle := panicHandler.Load(); handle != nil {
			defer recoverPanic(*handle)
		}
		if err := fn(ctx); err != nil && !errors.Is(err, context.Canceled) {
			g.fail(err)
		}
	}()
}

func recoverPanic(handle func(v any, stack []byte)) {
	if v := recover(); v != nil {
		handle(v, debug.Stack())
	}
}

func (g *Group) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil {
		g.err = err
	}
	g.cancel()
}

// Cancel cancels the group's context.
func (g *Group) Cancel() {
	g.Context()
	g.cancel()
}

// Wait waits for all goroutines and returns the first error.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// Stop cancels the group and waits until all goroutines have returned or ctx is
// done.
func (g *Group) Stop(ctx context.Context) error {
	g.Cancel()
	done := make(chan error, 1)
	go func() { done <- g.Wait() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop group")
	}
}
