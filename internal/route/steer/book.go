package steer

import (
	"slices"
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// Note tells other hosts where an object has its place.
type Note struct {
	Pool   cove.PoolName `json:"pool"`
	Object string        `json:"object"`
	Server string        `json:"server"`
	Moves  uint32        `json:"moves,omitempty"`
}

// noteBase is the base of keys in notes, to keep them short.
const noteBase = 36

func note(pool cove.PoolName, p place.Place) Note {
	return Note{
		Pool: pool, Object: strconv.FormatUint(p.Object, noteBase), Server: strconv.FormatUint(p.Server, noteBase),
		Moves: p.Moves,
	}
}

func (n *Note) place() (place.Place, error) {
	object, err := strconv.ParseUint(n.Object, noteBase, 64)
	if err != nil {
		return place.Place{}, err
	}
	server, err := strconv.ParseUint(n.Server, noteBase, 64)
	if err != nil {
		return place.Place{}, err
	}
	return place.Place{Object: object, Server: server, Moves: n.Moves}, nil
}

// settle puts the place of the object first in the order of servers, and chooses
// one for an object that has none.
func (s *Steer) settle(p *pool, work *cove.RequestInfo, order []*server, now time.Time) {
	object := s.placeKey(work)
	if at, ok := p.book.Find(object, now); ok {
		if srv := p.byKey[at.Server]; srv != nil {
			toFront(order, srv)
			return
		}
	}
	s.sites = s.sites[:0]
	for _, srv := range order[:min(len(order), place.MaxChoices)] {
		s.sites = append(s.sites, place.Site{Key: srv.key, Slots: srv.row.Slots})
	}
	srv := order[p.book.Choose(s.sites, p.book.Mean(p.slots))]
	s.notes = append(s.notes, note(p.row.Name, p.book.Put(object, srv.key, now)))
	toFront(order, srv)
}

// placeKey returns the key of an object in the book. Where the trip to another
// region counts, each region keeps a place of its own.
func (s *Steer) placeKey(work *cove.RequestInfo) uint64 {
	if s.nearWeight(work) == 1 {
		return work.AffinityKey
	}
	return work.AffinityKey ^ s.regionKey
}

// toFront moves a server to the front. One that may not take the request is not in
// the order.
func toFront(order []*server, srv *server) {
	if i := slices.Index(order, srv); i > 0 {
		copy(order[1:i+1], order[:i])
		order[0] = srv
	}
}

// move gives an object that has left its loaded server a place at the other one,
// so that it is cold there only once.
func (s *Steer) move(p *pool, work *cove.RequestInfo, to *server, now time.Time) {
	object := s.placeKey(work)
	at, ok := p.book.Find(object, now)
	if !ok || at.Server == to.key || !at.MayMove(now) {
		return
	}
	s.count.Add("steer.moved", 1)
	s.notes = append(s.notes, note(p.row.Name, p.book.Put(object, to.key, now)))
}

// Notes returns what other hosts have to hear since the last call.
func (s *Steer) Notes() []Note {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.notes
	s.notes = nil
	return out
}

// TakeNotes takes over what another host has chosen. Where this one knows
// better, as after a restart of the other, it returns what the other has to hear.
func (s *Steer) TakeNotes(notes []Note) []Note {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var back []Note
	for i := range notes {
		p := s.pools[notes[i].Pool]
		if p == nil {
			continue
		}
		at, err := notes[i].place()
		if err != nil {
			s.count.Add("steer.noteUnreadable", 1)
			continue
		}
		if own, tell := p.book.Take(at, now); tell {
			back = append(back, note(p.row.Name, own))
		}
	}
	return back
}
