package group

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a goroutine that fails and leaves the others of its group
// running.
func TestFirstErrorCancelsSiblings(t *testing.T) {
	g := New(context.Background())
	want := errors.New("broken")
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Go(func(context.Context) error { return want })
	if err := g.Wait(); !errors.Is(err, want) {
		t.Fatalf("Wait() = %v, want %v", err, want)
	}
}

// Guards against a Stop that hangs on a goroutine which ignores its context.
func TestStopIsBounded(t *testing.T) {
	var g Group
	release := make(chan struct{})
	g.Go(func(context.Context) error { <-release; return nil })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := g.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("Stop() = %v, want deadline exceeded", err)
	}
	close(release)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a panic that cancels the other goroutines of a group, on which
// requests in progress may depend, and against a Wait that never returns after it.
func TestPanicEndsOnlyItsGoroutine(t *testing.T) {
	type report struct {
		v     any
		stack string
	}
	reports := make(chan report, 1)
	HandlePanics(func(v any, stack []byte) { reports <- report{v, string(stack)} })
	t.Cleanup(func() { HandlePanics(nil) })
	var g Group
	g.Go(func(context.Context) error { panic("test of panics") })
	got := <-reports
	if got.v != "test of panics" || !strings.Contains(got.stack, "TestPanicEndsOnlyItsGoroutine") {
		t.Errorf("handler got %v, %s", got.v, got.stack)
	}
	if err := g.Context().Err(); err != nil {
		t.Errorf("context of the group: %v", err)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
