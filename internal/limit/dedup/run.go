package dedup

import (
	"sync"
	"time"

	"turmericcove.org/cove"
)

// run is the right to run a request. Only its first call counts.
type run struct {
	l    *Ledger
	e    *entry
	once sync.Once
}

func (l *Ledger) runClaim(e *entry) cove.Claim {
	l.cfg.Counters.Add("once.run", 1)
	return cove.Claim{State: cove.ClaimRun, Execution: &run{l: l, e: e}}
}

// Finish implements cove.Execution.
func (r *run) Finish(a *cove.Answer) {
	r.once.Do(func() { r.l.finish(r.e, a) })
}

// Unknown implements cove.Execution.
func (r *run) Unknown() {
	r.once.Do(func() { r.l.end(r.e, unknown) })
}

// NotRun implements cove.Execution.
func (r *run) NotRun() {
	r.once.Do(func() { r.l.notRun(r.e) })
}

func (l *Ledger) finish(e *entry, a *cove.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := answerSize(a); n <= maxAnswerBytes {
		e.answer = a
		e.size += n
		l.bytes += n
	} else {
		l.cfg.Counters.Add("once.answerTooLarge", 1)
	}
	l.endLocked(e, ended)
}

func (l *Ledger) end(e *entry, s state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(e, s)
}

func (l *Ledger) endLocked(e *entry, s state) {
	now := l.cfg.Clock.Now()
	e.settle(s)
	l.ends = append(l.ends, ending{e: e, at: now})
	l.shed()
}

// notRun gives the key back. The next request with it runs; a foreign key is
// also given back in the store, so that it can run at another host.
func (l *Ledger) notRun(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Counters.Add("once.notRun", 1)
	if e.ticket {
		e.settle(free)
		l.drop(e)
		return
	}
	l.freeEntry(e, e.held)
}

// add makes an entry, unless the memory is used up by entries that must stay.
func (l *Ledger) add(k digest) *entry {
	if l.bytes+entryBytes > maxBytes && !l.shed() {
		return nil
	}
	e := &entry{key: k, size: entryBytes, done: make(chan struct{})}
	l.entries[k] = e
	l.bytes += entryBytes
	return e
}

func (l *Ledger) drop(e *entry) {
	if l.entries[e.key] != e {
		return
	}
	delete(l.entries, e.key)
	l.bytes -= e.size
}

// shed drops the oldest answers until the memory bound holds, and the entries
// of foreign keys with them, which the store keeps. It reports whether there is
// room for another entry.
func (l *Ledger) shed() bool {
	for l.bytes+entryBytes > maxBytes && len(l.ends) > 0 {
		e := l.ends[0].e
		l.ends = l.ends[1:]
		l.cfg.Counters.Add("once.answerShed", 1)
		l.retire(e, l.cfg.Clock.Now())
	}
	return l.bytes+entryBytes <= maxBytes
}

// retire drops an entry that has ended. A ticket stays known for as long as it
// could be presented.
func (l *Ledger) retire(e *entry, now time.Time) {
	l.drop(e)
	if e.ticket && now.Before(e.keep) {
		l.stubs[e.key] = struct{}{}
		l.stubOrder = append(l.stubOrder, stub{key: e.key, keep: e.keep})
		l.bytes += stubBytes
	}
}

// expire drops entries after their retention.
func (l *Ledger) expire(now time.Time) {
	for len(l.ends) > 0 && now.Sub(l.ends[0].at) >= retention {
		e := l.ends[0].e
		l.ends = l.ends[1:]
		l.retire(e, now)
	}
	for len(l.stubOrder) > 0 && !now.Before(l.stubOrder[0].keep) {
		delete(l.stubs, l.stubOrder[0].key)
		l.stubOrder = l.stubOrder[1:]
		l.bytes -= stubBytes
	}
}
