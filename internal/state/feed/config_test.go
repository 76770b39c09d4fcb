package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/table"
)

// system is what the oracle observes.
type system interface {
	Current(n int) *cove.Table
	Apply(n int, next *cove.Table, author string) error
	Round()
}

// Current implements system.
func (fl *fleet) Current(n int) *cove.Table { return fl.hosts[n].feed.Current() }

// Round implements system.
func (fl *fleet) Round() { fl.round() }

// Apply implements system. The base is the version that the host has in force.
func (fl *fleet) Apply(n int, next *cove.Table, author string) error {
	_, err := fl.hosts[n].feed.Apply(context.Background(), next.Version, next, feed.Meta{Author: author})
	return err
}

// rateTable returns a table that differs from others by a rate.
func rateTable(base *cove.Table, rate float64) *cove.Table {
	t := &cove.Table{}
	if base != nil {
		t.Version = base.Version
	}
	for n := range domains {
		t.Domains = append(t.Domains, cove.DomainRow{Name: domainName(n), Region: "r"})
	}
	t.Teams = []cove.TeamRow{{Name: "red", Rate: rate, Burst: rate}}
	return t
}

// oracle knows what every host had in force and which author's change the
// platform holds as which version.
type oracle struct {
	fl      *fleet
	sys     system
	highest map[int]cove.Version
	rates   map[string]float64
	results map[string]error
	authors []string // by version, as far as they were read
}

func newOracle(fl *fleet, sys system) *oracle {
	return &oracle{
		fl: fl, sys: sys, highest: make(map[int]cove.Version),
		rates: make(map[string]float64), results: make(map[string]error), authors: []string{""},
	}
}

// committed returns the authors of all versions as the platform holds them.
func (o *oracle) committed() ([]string, error) {
	faults := o.fl.plat.Faults()
	o.fl.plat.SetFaults(fake.Faults{})
	defer o.fl.plat.SetFaults(faults)
	rows, err := o.fl.plat.List(context.Background(), "config/delta/", "", 1000)
	if err != nil {
		return nil, err
	}
	for _, row := range rows[len(o.authors)-1:] {
		var v struct{ Data []byte }
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return nil, err
		}
		d, err := table.DecodeDelta(v.Data)
		if err != nil {
			return nil, err
		}
		if int(d.Version) != len(o.authors) {
			return nil, errors.Errorf("version %d follows %d", d.Version, len(o.authors)-1)
		}
		o.authors = append(o.authors, d.Author)
	}
	return o.authors, nil
}

// check compares all hosts and all results with the platform.
func (o *oracle) check() error {
	authors, err := o.committed()
	if err != nil {
		return err
	}
	times := make(map[string]int)
	for _, a := range authors {
		times[a]++
	}
	for a, result := range o.results {
		var open *feed.UncertainError
		switch n := times[a]; {
		case n > 1:
			return errors.Errorf("change %s was committed %d times", a, n)
		case result == nil && n == 0:
			return errors.Errorf("change %s was reported as committed and is not", a)
		case result != nil && !errors.As(result, &open) && n == 1:
			return errors.Errorf("change %s was committed and reported as %v", a, result)
		}
	}
	for n := range o.fl.hosts {
		if err := o.checkHost(n, authors); err != nil {
			return err
		}
	}
	return nil
}

func (o *oracle) checkHost(n int, authors []string) error {
	t := o.sys.Current(n)
	if t == nil {
		return nil
	}
	if t.Version < o.highest[n] {
		return errors.Errorf("host %d went back from version %d to %d", n, o.highest[n], t.Version)
	}
	o.highest[n] = t.Version
	if int(t.Version) >= len(authors) {
		return errors.Errorf("host %d has version %d, which was not committed", n, t.Version)
	}
	if want := o.rates[authors[t.Version]]; t.Teams[0].Rate != want {
		return errors.Errorf("host %d has rate %v in version %d, want %v", n, t.Teams[0].Rate, t.Version, want)
	}
	return nil
}

// converged checks that all hosts reach the last version within the bound.
func (o *oracle) converged() error {
	o.fl.heal()
	for range 40 { // 10 s
		o.sys.Round()
		if err := o.check(); err != nil {
			return err
		}
	}
	authors, err := o.committed()
	if err != nil {
		return err
	}
	for n, h := range o.fl.hosts {
		if t := o.sys.Current(n); len(authors) > 1 && (t == nil || int(t.Version) != len(authors)-1) {
			return errors.Errorf("host %d has not reached version %d", n, len(authors)-1)
		}
		if !h.keys.Fresh() {
			return errors.Errorf("host %d is not fresh", n)
		}
	}
	return nil
}

// faultOps is the number of operations of fault.
const faultOps = 6

// fault changes the faults of the fleet as the number says.
func (fl *fleet) fault(x uint32) {
	a, b := int(x>>8)%len(fl.hosts), int(x>>16)%len(fl.hosts)
	f := fl.plat.Faults()
	switch x % faultOps {
	case 0:
		f.Outage = !f.Outage
	case 1:
		f.LostShare = 0.4 - f.LostShare
	case 2:
		f.OlderShare, f.OlderCommits = 0.5-f.OlderShare, 4
	case 3:
		fl.hosts[a].storeCut = !fl.hosts[a].storeCut
	case 4:
		fl.cut[[2]int{min(a, b), max(a, b)}] = true
	case 5:
		fl.partition(a/perDom, x>>24%2 == 0)
		return
	}
	fl.plat.SetFaults(f)
}

// partition cuts a failure domain from the others, and from the platform.
func (fl *fleet) partition(domain int, platform bool) {
	for _, a := range fl.hosts {
		if a.n/perDom != domain {
			continue
		}
		a.storeCut = platform
		for _, b := range fl.hosts {
			if b.n/perDom != domain {
				fl.cut[[2]int{min(a.n, b.n), max(a.n, b.n)}] = true
			}
		}
	}
}

// restart starts a host again. It may forget its version only if it could not
// ask the store.
func (o *oracle) restart(n int) {
	f := o.fl.plat.Faults()
	h := o.fl.hosts[n]
	h.start()
	if f.Outage || f.LostShare > 0 || h.storeCut {
		o.highest[n] = 0
	}
}

// runConfig runs the operations against a system.
func runConfig(fl *fleet, sys system, ops []uint32) error {
	o := newOracle(fl, sys)
	for i, x := range ops {
		n := int(x>>8) % len(fl.hosts)
		switch kind := x % 16; {
		case kind < 6:
			author := fmt.Sprintf("a%d", i)
			o.rates[author] = float64(i + 1)
			o.results[author] = sys.Apply(n, rateTable(sys.Current(n), o.rates[author]), author)
		case kind < 11:
			for range 1 + x>>16%4 {
				sys.Round()
			}
		case kind < 12:
			o.restart(n)
		case kind < 13:
			fl.heal()
		default:
			fl.fault(x >> 4)
		}
		if err := o.check(); err != nil {
			return errors.WithMessagef(err, "after operation %d (%#x)", i, x)
		}
	}
	return o.converged()
}

// TestConfigHistory guards against a host that goes back to an older version, a
// change that is committed twice or reported wrongly, and hosts that do not
// converge, under outages, older reads, lost answers, partitions and restarts.
func TestConfigHistory(t *testing.T) {
	props := gopter.NewProperties(caseParams(8))
	props.Property("one history on all hosts", prop.ForAll(func(ops []uint32) (bool, error) {
		fl := newFleet(uint64(len(ops)))
		err := runConfig(fl, fl, ops)
		return err == nil, err
	}, gen.SliceOf(gen.UInt32())))
	props.TestingRun(t)
}

// staleReadFleet is a broken fleet: host 0 uses whatever version a plain read
// of the store returns.
type staleReadFleet struct{ *fleet }

func (s staleReadFleet) Current(n int) *cove.Table {
	if n != 0 {
		return s.fleet.Current(n)
	}
	row, err := s.plat.Get(context.Background(), "config/head")
	if err != nil {
		return s.fleet.Current(n)
	}
	var head struct{ Version cove.Version }
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return nil
	}
	t, err := s.hosts[1].feed.TableAt(context.Background(), head.Version)
	if err != nil || t == nil || t.Version == 0 {
		return s.fleet.Current(n)
	}
	return t
}

// retryingFleet is a broken fleet: an apply with an unknown result is retried.
type retryingFleet struct{ *fleet }

func (s retryingFleet) Apply(n int, next *cove.Table, author string) error {
	err := s.fleet.Apply(n, next, author)
	for range 3 {
		if err == nil || errors.Is(err, cove.ErrConflict) {
			return err
		}
		s.heal()
		s.fleet.Round()
		next.Version = s.Current(n).Version
		next.Teams[0].Burst++
		err = s.fleet.Apply(n, next, author)
	}
	return err
}

// TestConfigOracle shows that the oracle of TestConfigHistory catches a host
// that uses stale reads and a writer that retries an uncertain change.
func TestConfigOracle(t *testing.T) {
	apply, round := uint32(0), uint32(6)
	older := uint32(15 | 2<<4)
	history := []uint32{apply, round | 3<<16, apply, round | 3<<16, apply, round | 3<<16, older}
	for range 20 {
		history = append(history, round)
	}
	fl := newFleet(1)
	err := runConfig(fl, staleReadFleet{fl}, history)
	if err == nil || !strings.Contains(err.Error(), "went back") {
		t.Errorf("stale reads: got %v, want an error", err)
	}
	fl = newFleet(1)
	fl.plat.SetFaults(fake.Faults{})
	err = runUncertain(fl)
	if err == nil || !strings.Contains(err.Error(), "committed 2 times") {
		t.Errorf("retrying an uncertain change: got %v, want an error", err)
	}
}

// runUncertain applies twice, the second time with a lost response and an outage
// that leaves the result unknown.
func runUncertain(fl *fleet) error {
	sys := retryingFleet{fl}
	o := newOracle(fl, sys)
	for i := range 2 {
		author := fmt.Sprintf("a%d", i)
		o.rates[author] = float64(i + 1)
		o.results[author] = sys.Apply(1, rateTable(sys.Current(1), o.rates[author]), author)
		fl.round()
		fl.loseNextCommit = true
	}
	return o.check()
}
