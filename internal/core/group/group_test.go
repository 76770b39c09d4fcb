package group

import (
	"context"
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
