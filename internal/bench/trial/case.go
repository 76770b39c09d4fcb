// Package trial runs measured cases: a small fleet, a load, faults by time, and
// a report of what held.
package trial

import (
	"embed"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/load"
	"turmericcove.org/cove/internal/core/jsonc"
)

// Case describes a run. It is read from JSON with comments.
type Case struct {
	Name string `json:"case"`
	// Domains is the number of failure domains that take part, Hosts the number
	// of entry hosts, which are dealt to the domains in turn.
	Domains int `json:"domains"`
	Hosts   int `json:"hosts"`
	// Load is the share of the capacity of the route that is tightest.
	Load float64 `json:"load"`
	// Duration defaults to 15 s.
	Duration cove.Duration `json:"duration,omitempty"`
	// ServiceTime is the mean time of one request at a backend server.
	ServiceTime cove.Duration `json:"serviceTime,omitempty"`
	// Headroom is a team's rate limit over its offered load. Default: 1.25.
	Headroom float64 `json:"headroom,omitempty"`
	// Shapes default to the mix of the deployment.
	Shapes []load.Shape `json:"shapes,omitempty"`
	Teams  []TeamLoad   `json:"teams,omitempty"`
	Faults []Fault      `json:"faults,omitempty"`
}

// TeamLoad changes what one team sends.
type TeamLoad struct {
	Team cove.Team `json:"team"`
	// Factor multiplies the team's offered load, not its limit.
	Factor float64 `json:"factor"`
	// Host pins the team to one entry host, counted from 1.
	Host int `json:"host,omitempty"`
}

// Fault is something that happens during a run.
type Fault struct {
	At   cove.Duration `json:"at"`
	For  cove.Duration `json:"for,omitempty"`
	Kind FaultKind     `json:"kind"`
	// Target is a host, failure domain, backend server, pool or team.
	Target string `json:"target,omitempty"`
	// Share of requests or answers that are affected.
	Share float64 `json:"share,omitempty"`
	// Weights are the new pool weights of a route, with kind "weights".
	Weights []cove.PoolWeight `json:"weights,omitempty"`
}

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	FaultHostCrash     FaultKind = "hostCrash"
	FaultHostStop      FaultKind = "hostStop"
	FaultHostStart     FaultKind = "hostStart"
	FaultStoreOutage   FaultKind = "storeOutage"
	FaultStoreLose     FaultKind = "storeLoseAnswers"
	FaultStoreOlder    FaultKind = "storeOlderReads"
	FaultStoreDelay    FaultKind = "storeDelay"
	FaultCutPlatform   FaultKind = "cutPlatform"
	FaultCutDomains    FaultKind = "cutDomains"
	FaultDrainServer   FaultKind = "drainServer"
	FaultServerDrain   FaultKind = "serverDraining"
	FaultServerCold    FaultKind = "serverCold"
	FaultServerLying   FaultKind = "serverLying"
	FaultServerSilent  FaultKind = "serverSilent"
	FaultServerLate    FaultKind = "serverLate"
	FaultServerCross   FaultKind = "serverCrossed"
	FaultServerCut     FaultKind = "serverCut"
	FaultServerEndless FaultKind = "serverEndless"
	FaultWeights       FaultKind = "weights"
	FaultKeyWithdraw   FaultKind = "keyWithdraw"
)

var faultKinds = []FaultKind{
	FaultHostCrash, FaultHostStop, FaultHostStart, FaultStoreOutage, FaultStoreLose, FaultStoreOlder,
	FaultStoreDelay, FaultCutPlatform, FaultCutDomains, FaultDrainServer, FaultServerDrain, FaultServerCold,
	FaultServerLying, FaultServerSilent, FaultServerLate, FaultServerCross, FaultServerCut,
	FaultServerEndless, FaultWeights,
	FaultKeyWithdraw,
}

const (
	// DefaultDuration of a run.
	DefaultDuration = 15 * time.Second
	// MaxDuration bounds a run, because the records are kept in memory.
	MaxDuration = 60 * time.Second

	defaultServiceTime = 20 * time.Millisecond
	defaultHeadroom    = 1.25
	maxHosts           = 6
)

//go:embed cases/*.json
var caseFiles embed.FS

// Names returns the cases that are built in.
func Names() []string {
	entries, err := caseFiles.ReadDir("cases")
	if err != nil {
		// The folder is embedded at build time.
		panic(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	return names
}

// Load returns a built-in case, or reads a case file.
func Load(name string) (*Case, error) {
	if slices.Contains(Names(), name) {
		src, err := caseFiles.ReadFile(path.Join("cases", name+".json"))
		if err != nil {
			return nil, errors.Wrap(err, "built-in case")
		}
		return Parse(name, src)
	}
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrapf(err, "no built-in case (%s) and no file", strings.Join(Names(), ", "))
	}
	return Parse(name, src)
}

// Parse reads a case and checks it as a whole.
func Parse(name string, src []byte) (*Case, error) {
	c := new(Case)
	f, err := jsonc.Decode(name, src, c)
	if err != nil {
		return nil, err
	}
	c.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	c.complete()
	return c, nil
}

func (c *Case) check(f *jsonc.File) {
	if c.Name == "" {
		f.Faultf("/case", "give a name", "must be set")
	}
	if c.Domains < 1 || c.Domains > maxHosts {
		f.Faultf("/domains", "use 1 to 6", "%d is out of range", c.Domains)
	}
	if c.Hosts < c.Domains || c.Hosts > maxHosts {
		f.Faultf("/hosts", "use at least one a failure domain and at most 6", "%d is out of range", c.Hosts)
	}
	if c.Load <= 0 || c.Load > 10 {
		f.Faultf("/load", "use a share of the capacity, such as 0.8", "%v is out of range", c.Load)
	}
	if d := time.Duration(c.Duration); d < 0 || d > MaxDuration {
		f.Faultf("/duration", "use at most 60s", "%v is out of range", d)
	}
	for i, ft := range c.Faults {
		ft.check(f, i)
	}
}

func (ft *Fault) check(f *jsonc.File, i int) {
	at := pointer("/faults", i)
	if !slices.Contains(faultKinds, ft.Kind) {
		f.Faultf(at+"/kind", "see the list in the README", "unknown kind %q", ft.Kind)
	}
	if ft.At < 0 || ft.For < 0 {
		f.Faultf(at+"/at", "use a positive time", "is out of range")
	}
	if ft.Share < 0 || ft.Share > 1 {
		f.Faultf(at+"/share", "use 0 to 1", "%v is out of range", ft.Share)
	}
}

func (c *Case) complete() {
	if c.Duration == 0 {
		c.Duration = cove.Duration(DefaultDuration)
	}
	if c.ServiceTime == 0 {
		c.ServiceTime = cove.Duration(defaultServiceTime)
	}
	if c.Headroom == 0 {
		c.Headroom = defaultHeadroom
	}
}
