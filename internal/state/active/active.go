// Package active holds the table in force for readers of the same process.
package active

import (
	"sync"
	"sync/atomic"

	"turmericcove.org/cove"
)

// Tables implements cove.Tables. The zero value has no table.
type Tables struct {
	current  atomic.Pointer[cove.Table]
	mu       sync.Mutex
	watchers []func(*cove.Table)
}

var _ cove.Tables = (*Tables)(nil)

// Current implements cove.Tables.
func (t *Tables) Current() *cove.Table { return t.current.Load() }

// Watch implements cove.Tables.
func (t *Tables) Watch(fn func(*cove.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers = append(t.watchers, fn)
	if cur := t.current.Load(); cur != nil {
		fn(cur)
	}
}

// Publish puts a table in force. A table with an older version than the current
// one is ignored, and Publish reports whether it put the table in force. The same
// version may come again, with other backend servers.
func (t *Tables) Publish(next *cove.Table) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cur := t.current.Load(); cur != nil && next.Version < cur.Version {
		return false
	}
	t.current.Store(next)
	for _, fn := range t.watchers {
		fn(next)
	}
	return true
}
