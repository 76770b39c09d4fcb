package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// FuzzOptions bound a search for a case that breaks a guarantee.
type FuzzOptions struct {
	Deployment string
	Seed       uint64
	Time       time.Duration
	Out        io.Writer
}

const (
	fuzzDuration  = 6 * time.Second
	fuzzLoad      = 0.4
	fuzzMaxFaults = 5
)

// fuzzKinds are the faults that a random case draws from. Each may happen with
// any other and more than once.
var fuzzKinds = []FaultKind{
	FaultHostCrash, FaultHostStop, FaultStoreOutage, FaultStoreLose, FaultStoreOlder, FaultStoreDelay,
	FaultCutPlatform, FaultCutDomains, FaultDrainServer, FaultServerDrain, FaultServerCold, FaultServerLying,
	FaultServerSilent, FaultServerLate, FaultServerCross, FaultServerCut, FaultKeyWithdraw,
}

// Fuzz runs random cases until the time is over or one breaks a guarantee. That
// one is shortened and printed with its seed.
func Fuzz(ctx context.Context, o FuzzOptions) error {
	end := time.Now().Add(o.Time)
	for seed := o.Seed; time.Now().Before(end) && ctx.Err() == nil; seed++ {
		c := randomCase(seed)
		broken, err := o.try(ctx, c, seed)
		if err != nil {
			return errors.WithMessagef(err, "seed %d", seed)
		}
		fmt.Fprintf(o.Out, "seed %d: %d faults: %s\n", seed, len(c.Faults), verdict(broken))
		if len(broken) == 0 {
			continue
		}
		short, err := o.shorten(ctx, c, seed)
		if err != nil {
			return err
		}
		return o.found(short, seed, broken)
	}
	return nil
}

func verdict(broken []string) string {
	if len(broken) == 0 {
		return "all guarantees hold"
	}
	return fmt.Sprint("broken: ", broken)
}

func (o *FuzzOptions) try(ctx context.Context, c *Case, seed uint64) ([]string, error) {
	report, _, err := Run(ctx, c, Options{Deployment: o.Deployment, Seed: seed, Policy: "ours", Logger: logr.Discard()})
	if err != nil {
		return nil, err
	}
	return report.Broken(), nil
}

// shorten removes faults as long as the rest still breaks a guarantee.
func (o *FuzzOptions) shorten(ctx context.Context, c *Case, seed uint64) (*Case, error) {
	for i := 0; i < len(c.Faults); {
		less := *c
		less.Faults = slices.Delete(slices.Clone(c.Faults), i, i+1)
		broken, err := o.try(ctx, &less, seed)
		if err != nil {
			return nil, err
		}
		if len(broken) == 0 {
			i++
			continue
		}
		c = &less
	}
	return c, nil
}

func (o *FuzzOptions) found(c *Case, seed uint64, broken []string) error {
	b, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print case")
	}
	fmt.Fprintf(o.Out, "shortest case found, seed %d:\n%s\n", seed, b)
	return errors.Errorf("seed %d breaks guarantees: %v", seed, broken)
}

// randomCase draws a case. The same seed gives the same case.
func randomCase(seed uint64) *Case {
	rng := rand.New(rand.NewPCG(seed, 0))
	domains := 2 + rng.IntN(3)
	c := &Case{
		Name:     fmt.Sprintf("fuzz-%d", seed),
		Domains:  domains,
		Hosts:    domains + rng.IntN(maxHosts-domains+1),
		Load:     fuzzLoad,
		Duration: cove.Duration(fuzzDuration),
	}
	for n := 1 + rng.IntN(fuzzMaxFaults); len(c.Faults) < n; {
		// A host that has ended can't end again.
		if f := randomFault(rng, c); !slices.ContainsFunc(c.Faults, f.endsSameHost) {
			c.Faults = append(c.Faults, f)
		}
	}
	c.complete()
	return c
}

func (ft Fault) endsHost() bool { return ft.Kind == FaultHostCrash || ft.Kind == FaultHostStop }

func (ft Fault) endsSameHost(o Fault) bool {
	return ft.endsHost() && o.endsHost() && ft.Target == o.Target
}

func randomFault(rng *rand.Rand, c *Case) Fault {
	f := Fault{
		Kind:  fuzzKinds[rng.IntN(len(fuzzKinds))],
		At:    cove.Duration(time.Duration(rng.Int64N(int64(fuzzDuration * 2 / 3)))),
		For:   cove.Duration(time.Duration(rng.Int64N(int64(fuzzDuration / 2)))),
		Share: 0.05 + 0.15*rng.Float64(),
	}
	switch f.Kind {
	case FaultHostCrash, FaultHostStop:
		// The first host stays, so that there is one to send changes to.
		f.Target = position(1 + rng.IntN(c.Hosts-1))
	case FaultCutPlatform, FaultCutDomains:
		f.Target = position(rng.IntN(c.Domains))
	case FaultKeyWithdraw:
		f.Target = position(rng.IntN(4))
	default:
		f.Target = position(rng.IntN(c.Domains * 2))
	}
	return f
}
