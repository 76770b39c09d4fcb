package share

import (
	"context"
	"sync"
	"time"

	"turmericcove.org/cove"
)

// memStore is a table store in memory that can inject faults.
type memStore struct {
	rows      map[string]cove.Row
	seq       uint64
	down      bool
	nextFault func() int // 0 none, 1 answer lost, 2 request lost, 3 applied late
	reads     int
	commits   int
}

type hostStore struct{ h *simHost }

func (s hostStore) fault() int {
	if s.h.sim.store.nextFault == nil {
		return 0
	}
	return s.h.sim.store.nextFault()
}

func (s hostStore) Get(_ context.Context, key string) (cove.Row, error) {
	m := s.h.sim.store
	if m.down || s.h.sim.isCut(-1, s.h.index) || s.fault() == 2 {
		return cove.Row{}, cove.ErrUnavailable
	}
	m.reads++
	r, ok := m.rows[key]
	if !ok {
		return cove.Row{}, cove.ErrNotFound
	}
	return r, nil
}

func (s hostStore) List(context.Context, string, string, int) ([]cove.Row, error) {
	return nil, cove.ErrUnavailable
}

func (s hostStore) Commit(_ context.Context, token string, ws []cove.Write) error {
	m := s.h.sim.store
	if m.down || s.h.sim.isCut(-1, s.h.index) {
		return cove.ErrUnavailable
	}
	switch s.fault() {
	case 1:
		_ = m.commit(token, ws)
		return cove.ErrUnavailable
	case 2:
		return cove.ErrUnavailable
	case 3:
		s.h.sim.schedule(time.Duration(s.h.sim.rnd.Intn(4000))*time.Millisecond, func() { _ = m.commit(token, ws) })
		return cove.ErrUnavailable
	}
	return m.commit(token, ws)
}

func (m *memStore) commit(token string, ws []cove.Write) error {
	m.commits++
	for _, w := range ws {
		if m.rows[w.Key].Revision != w.IfRevision {
			return &cove.ConflictError{Rows: []cove.Row{m.rows[w.Key]}}
		}
	}
	m.seq++
	for _, w := range ws {
		if !w.Check {
			m.rows[w.Key] = cove.Row{Key: w.Key, Revision: m.seq, Token: token, Value: w.Value}
		}
	}
	return nil
}

// lockedStore serializes access for services that run in goroutines.
type lockedStore struct {
	m  *sim
	mu sync.Mutex
}

func (s *lockedStore) Get(ctx context.Context, key string) (cove.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hostStore{s.m.hosts[0]}.Get(ctx, key)
}

func (s *lockedStore) List(context.Context, string, string, int) ([]cove.Row, error) {
	return nil, cove.ErrUnavailable
}

func (s *lockedStore) Commit(ctx context.Context, token string, ws []cove.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hostStore{s.m.hosts[0]}.Commit(ctx, token, ws)
}
