// Package config reads and validates the settings of an entry host.
package config

import (
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/jsonc"
)

// Settings are the settings of one entry host. They are read once at startup.
type Settings struct {
	// ID is the name of the host. It must be unique in the fleet.
	ID cove.HostID `json:"id"`
	// Region is the region of the host's failure domain.
	Region cove.Region `json:"region"`
	// Domain is the host's failure domain.
	Domain   cove.Domain `json:"domain"`
	Caller   Caller      `json:"caller"`
	Peer     Peer        `json:"peer"`
	Admin    Admin       `json:"admin"`
	Platform Platform    `json:"platform"`
	// Distances are the delays between regions, by which remote failure domains
	// are ordered.
	Distances []Distance `json:"distances,omitempty"`
	Log       Log        `json:"log,omitzero"`
	Stop      Stop       `json:"stop,omitzero"`
}

// Caller holds the settings of the port for callers.
type Caller struct {
	// Listen is the address of the port for callers.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address that lookups return. Default: listen.
	Advertise netip.AddrPort `json:"advertise,omitzero"`
	// Cert is a PEM file. Without it the port speaks plain HTTP.
	Cert string `json:"cert,omitempty"`
	// Key is the PEM file of the certificate's key.
	Key string `json:"key,omitempty"`
	// Trusted lists the callers that may look up hosts for another address.
	Trusted []netip.Prefix `json:"trusted,omitempty"`
	// MaxConnections limits the open connections of callers. Default: 4096.
	MaxConnections int `json:"maxConnections,omitempty"`
	// MaxHeaderBytes limits the size of a request's header. Default: 65536.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// MaxBodyBytes limits the size of a request's body. Default: 67108864.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// HeaderTimeout limits the time to read a request's header. Default: 5s.
	HeaderTimeout cove.Duration `json:"headerTimeout,omitempty"`
}

// Peer holds the settings of the port for other entry hosts.
type Peer struct {
	// Listen is the address of the port for other entry hosts.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address that other hosts connect to. Default: listen.
	Advertise netip.AddrPort `json:"advertise,omitzero"`
	// CA is the PEM file of the certificate authority that signs the hosts'
	// certificates.
	CA string `json:"ca"`
	// Cert is the PEM file of the host's certificate, which names the host.
	Cert string `json:"cert"`
	// Key is the PEM file of the certificate's key.
	Key string `json:"key"`
}

// Admin holds the settings of the port for operators.
type Admin struct {
	// Listen must be a loopback address, because the port has no
	// authentication.
	Listen netip.AddrPort `json:"listen"`
}

// Platform holds the location of the platform's services.
type Platform struct {
	// URL is the base URL of the table service, the object store and the list of
	// hosts.
	URL string `json:"url"`
}

// Distance is the one-way delay between two regions.
type Distance struct {
	// A is one of the two regions.
	A cove.Region `json:"a"`
	// B is the other region.
	B cove.Region `json:"b"`
	// OneWay is the delay in one direction.
	OneWay cove.Duration `json:"oneWay"`
}

// Log holds the settings of the log.
type Log struct {
	// Format is "text" or "json". Default: text.
	Format string `json:"format,omitempty"`
	// Verbosity is 0 for state changes only, up to 4. Default: 0.
	Verbosity int `json:"verbosity,omitempty"`
}

// Stop holds the timeouts of a graceful shutdown.
type Stop struct {
	// Linger is how long a stopping host keeps accepting requests after its
	// removal from lookup results, which callers cache. Default: 12s.
	Linger cove.Duration `json:"linger,omitempty"`
	// Grace limits the wait for running requests. Default: 60s.
	Grace cove.Duration `json:"grace,omitempty"`
}

// Defaults of optional settings.
const (
	DefaultMaxConnections = 4096
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxBodyBytes   = 64 << 20
	DefaultHeaderTimeout  = 5 * time.Second
	// DefaultLinger is a fifth longer than callers may cache a lookup result.
	DefaultLinger = 12 * time.Second
	DefaultGrace  = 60 * time.Second

	maxVerbosity = 4
)

// Load reads and validates a settings file and applies the defaults. Invalid
// settings are reported together as a jsonc.Faults error.
func Load(name string) (*Settings, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(name, src)
}

// Parse is like Load for the contents of a file. The name is used in errors.
func Parse(name string, src []byte) (*Settings, error) {
	s := new(Settings)
	f, err := jsonc.Decode(name, src, s)
	if err != nil {
		return nil, err
	}
	s.validate(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	s.applyDefaults()
	return s, nil
}

func (s *Settings) validate(f *jsonc.File) {
	required(f, "/id", string(s.ID))
	required(f, "/region", string(s.Region))
	required(f, "/domain", string(s.Domain))
	required(f, "/peer/ca", s.Peer.CA)
	required(f, "/peer/cert", s.Peer.Cert)
	required(f, "/peer/key", s.Peer.Key)
	s.checkAddresses(f)
	s.checkCaller(f)
	s.checkPlatform(f)
	s.checkDistances(f)
	s.checkTimes(f)
	if !slices.Contains([]string{"", "text", "json"}, s.Log.Format) {
		f.Faultf("/log/format", `use "text" or "json"`, "unknown format %q", s.Log.Format)
	}
	if s.Log.Verbosity < 0 || s.Log.Verbosity > maxVerbosity {
		f.Faultf("/log/verbosity", "use 0 to 4", "%d is out of range", s.Log.Verbosity)
	}
}

func required(f *jsonc.File, pointer, v string) {
	if v == "" {
		f.Faultf(pointer, "give a value", "must be set")
	}
}

func (s *Settings) checkAddresses(f *jsonc.File) {
	listens := map[netip.AddrPort]string{}
	for _, a := range []struct {
		pointer string
		addr    netip.AddrPort
	}{
		{"/caller/listen", s.Caller.Listen},
		{"/peer/listen", s.Peer.Listen},
		{"/admin/listen", s.Admin.Listen},
	} {
		if !a.addr.IsValid() {
			f.Faultf(a.pointer, `give an IP number and a port such as "10.0.0.1:8443"`, "must be set")
			continue
		}
		if other, ok := listens[a.addr]; ok && a.addr.Port() != 0 {
			f.Faultf(a.pointer, "choose another port", "same address as %s", other)
		}
		listens[a.addr] = a.pointer
	}
	if s.Admin.Listen.IsValid() && !s.Admin.Listen.Addr().IsLoopback() {
		f.Faultf("/admin/listen", "use 127.0.0.1 or ::1", "the admin port has no login and must be on loopback")
	}
	checkAdvertise(f, "/caller", s.Caller.Listen, s.Caller.Advertise)
	checkAdvertise(f, "/peer", s.Peer.Listen, s.Peer.Advertise)
}

func checkAdvertise(f *jsonc.File, pointer string, listen, advertise netip.AddrPort) {
	if listen.IsValid() && listen.Addr().IsUnspecified() && !advertise.IsValid() {
		f.Faultf(pointer+"/advertise", "give the address that others reach", "must be set when listen is %s", listen)
	}
}

func (s *Settings) checkCaller(f *jsonc.File) {
	if (s.Caller.Cert == "") != (s.Caller.Key == "") {
		f.Faultf("/caller/cert", "give both or none", "cert and key belong together")
	}
	if s.Caller.MaxConnections < 0 {
		f.Faultf("/caller/maxConnections", "use a positive number", "%d is out of range", s.Caller.MaxConnections)
	}
	if s.Caller.MaxHeaderBytes < 0 {
		f.Faultf("/caller/maxHeaderBytes", "use a positive number", "%d is out of range", s.Caller.MaxHeaderBytes)
	}
	if s.Caller.MaxBodyBytes < 0 {
		f.Faultf("/caller/maxBodyBytes", "use a positive number", "%d is out of range", s.Caller.MaxBodyBytes)
	}
}

func (s *Settings) checkPlatform(f *jsonc.File) {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.Faultf("/platform/url", `give a URL such as "http://10.0.0.9:7000"`, "%q is no http or https URL", s.Platform.URL)
	}
}

func (s *Settings) checkDistances(f *jsonc.File) {
	seen := map[[2]cove.Region]bool{}
	for i, d := range s.Distances {
		at := "/distances/" + strconv.Itoa(i)
		if d.A == "" || d.B == "" || d.A == d.B {
			f.Faultf(at, "name two different regions", "%q and %q are no pair of regions", d.A, d.B)
		}
		if d.OneWay <= 0 {
			f.Faultf(at+"/oneWay", `give a time such as "35ms"`, "must be positive")
		}
		pair := [2]cove.Region{min(d.A, d.B), max(d.A, d.B)}
		if seen[pair] {
			f.Faultf(at, "remove one of the two", "the pair %s and %s is given twice", d.A, d.B)
		}
		seen[pair] = true
	}
}

func (s *Settings) checkTimes(f *jsonc.File) {
	for _, t := range []struct {
		pointer string
		d       cove.Duration
	}{
		{"/caller/headerTimeout", s.Caller.HeaderTimeout},
		{"/stop/linger", s.Stop.Linger},
		{"/stop/grace", s.Stop.Grace},
	} {
		if t.d < 0 {
			f.Faultf(t.pointer, "use a positive time", "%s is out of range", time.Duration(t.d))
		}
	}
}

func (s *Settings) applyDefaults() {
	setDefault(&s.Caller.Advertise, s.Caller.Listen)
	setDefault(&s.Peer.Advertise, s.Peer.Listen)
	setDefault(&s.Caller.MaxConnections, DefaultMaxConnections)
	setDefault(&s.Caller.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.Caller.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Caller.HeaderTimeout, cove.Duration(DefaultHeaderTimeout))
	setDefault(&s.Stop.Linger, cove.Duration(DefaultLinger))
	setDefault(&s.Stop.Grace, cove.Duration(DefaultGrace))
	setDefault(&s.Log.Format, "text")
}
