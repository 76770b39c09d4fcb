package feed

import (
	"context"
	"strings"

	"turmericcove.org/cove"
)

// Round runs one round of the host's tasks in the caller's goroutine.
func (f *Feed) Round(ctx context.Context) {
	f.pollOnce(ctx)
	_ = f.followOnce(ctx, 0)
}

// Load runs the start without the tasks, and makes later tasks run inline.
func (f *Feed) Load(ctx context.Context) {
	f.background = func(ctx context.Context, fn func(context.Context)) { fn(ctx) }
	f.load(ctx)
}

// Maintain runs one round of maintenance.
func (f *Feed) Maintain(ctx context.Context) error { return f.maintainOnce(ctx) }

// ParseStored reads data as every kind of row and note.
func ParseStored(data []byte) {
	_, _ = parseNote(data)
	_, _ = parseHead(cove.Row{Value: data})
	_, _ = parseVersionKey(deltaPrefix, string(data))
	f := new(Feed)
	// The key has a version; a row that names an object has none to read.
	if !strings.Contains(strings.ToLower(string(data)), "object") {
		_, _ = f.readEntry(context.Background(), cove.Row{Key: deltaKey(1), Value: data})
	}
}
