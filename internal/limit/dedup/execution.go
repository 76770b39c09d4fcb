package dedup

import (
	"sync"
	"time"

	"turmericcove.org/cove"
)

// execution implements cove.Execution. Only the first call of a method has an
// effect.
type execution struct {
	dedup *Deduplicator
	entry *entry
	once  sync.Once
}

func (d *Deduplicator) newRunClaim(e *entry) cove.Claim {
	d.cfg.Counters.Add("once.run", 1)
	return cove.Claim{State: cove.ClaimRun, Execution: &execution{dedup: d, entry: e}}
}

// Finish implements cove.Execution.
func (x *execution) Finish(a *cove.Answer) {
	x.once.Do(func() { x.dedup.finish(x.entry, a) })
}

// Unknown implements cove.Execution.
func (x *execution) Unknown() {
	x.once.Do(func() { x.dedup.complete(x.entry, unknown) })
}

// NotRun implements cove.Execution.
func (x *execution) NotRun() {
	x.once.Do(func() { x.dedup.notRun(x.entry) })
}

func (d *Deduplicator) finish(e *entry, a *cove.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := answerSize(a); n <= maxAnswerBytes {
		e.answer = a
		e.size += n
		d.bytes += n
	} else {
		d.cfg.Counters.Add("once.answerTooLarge", 1)
	}
	d.completeLocked(e, finished)
}

func (d *Deduplicator) complete(e *entry, s state) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completeLocked(e, s)
}

func (d *Deduplicator) completeLocked(e *entry, s state) {
	now := d.cfg.Clock.Now()
	e.settle(s)
	d.completions = append(d.completions, completion{entry: e, at: now})
	d.evict()
}

// notRun frees the key, so that the next request with it runs. The row of a
// caller-supplied key is also deleted, so that it can run at another host.
func (d *Deduplicator) notRun(e *entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Counters.Add("once.notRun", 1)
	if e.isTicket {
		e.settle(free)
		d.dropEntry(e)
		return
	}
	d.scheduleRelease(e, e.claimID)
}

// addEntry adds an entry. It returns nil if the memory bound is reached and no
// finished entry is left to evict.
func (d *Deduplicator) addEntry(k digest) *entry {
	if d.bytes+entryBytes > maxBytes && !d.evict() {
		return nil
	}
	e := &entry{key: k, size: entryBytes, done: make(chan struct{})}
	d.entries[k] = e
	d.bytes += entryBytes
	return e
}

func (d *Deduplicator) dropEntry(e *entry) {
	if d.entries[e.key] != e {
		return
	}
	delete(d.entries, e.key)
	d.bytes -= e.size
}

// evict drops the oldest finished entries until another entry fits into the
// memory bound, and reports whether it does. Caller-supplied keys stay claimed
// by their rows in the store.
func (d *Deduplicator) evict() bool {
	for d.bytes+entryBytes > maxBytes && len(d.completions) > 0 {
		e := d.completions[0].entry
		d.completions = d.completions[1:]
		d.cfg.Counters.Add("once.answerShed", 1)
		d.retire(e, d.cfg.Clock.Now())
	}
	return d.bytes+entryBytes <= maxBytes
}

// retire drops a finished entry. A ticket that has not expired leaves a
// tombstone, so that it does not run again.
func (d *Deduplicator) retire(e *entry, now time.Time) {
	d.dropEntry(e)
	if e.isTicket && now.Before(e.keepUntil) {
		d.tombstones[e.key] = struct{}{}
		d.tombstoneQueue = append(d.tombstoneQueue, tombstone{key: e.key, keepUntil: e.keepUntil})
		d.bytes += tombstoneBytes
	}
}

// expire drops finished entries after answerRetention, and tombstones of expired
// tickets.
func (d *Deduplicator) expire(now time.Time) {
	for len(d.completions) > 0 && now.Sub(d.completions[0].at) >= answerRetention {
		e := d.completions[0].entry
		d.completions = d.completions[1:]
		d.retire(e, now)
	}
	for len(d.tombstoneQueue) > 0 && !now.Before(d.tombstoneQueue[0].keepUntil) {
		delete(d.tombstones, d.tombstoneQueue[0].key)
		d.tombstoneQueue = d.tombstoneQueue[1:]
		d.bytes -= tombstoneBytes
	}
}
