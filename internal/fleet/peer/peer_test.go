package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/meter"
)

const testValidity = time.Hour

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// startHost starts a peer port whose path /who returns the id of the sender.
func startHost(t *testing.T, id cove.HostID, src Source, resolve ResolveFunc, dial DialFunc) *Service {
	t.Helper()
	s := New(Config{
		Self:     cove.Self{ID: id},
		Listen:   netip.MustParseAddrPort("127.0.0.1:0"),
		Source:   src,
		Resolve:  resolve,
		Clock:    clock.System{},
		Counters: new(meter.Meter),
		Events:   &event.Log{Clock: clock.System{}, Logger: logr.Discard()},
		Dial:     dial,
	})
	s.Handle("/who", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := cove.PeerFrom(r.Context())
		_, _ = io.WriteString(w, string(from))
	}))
	s.Handle("/hang", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s
}

func fetch(s *Service, id cove.HostID, path string) (string, error) {
	c, base, err := s.Client(id)
	if err != nil {
		return "", err
	}
	resp, err := c.Get(base + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// untrustedCerts are client certificates that a peer port must refuse.
func untrustedCerts(now time.Time, ca *Authority) map[string][]tls.Certificate {
	foreign := must(NewAuthority(now, testValidity))
	asHost := must(foreign.Credentials("a", now, testValidity))
	expired := must(ca.Credentials("a", now.Add(-2*time.Hour), time.Minute))
	template := must(newTemplate("caller", now, testValidity))
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	key := must(newKey())
	pair := must(sign(template, ca.cert, key, ca.key))
	return map[string][]tls.Certificate{
		"no certificate":    nil,
		"foreign authority": {asHost.Cert},
		"expired":           {expired.Cert},
		"names no host":     {must(tls.X509KeyPair(pair.Cert, pair.Key))},
	}
}

// acceptedCerts returns the names of those certificates with which a request to
// the address gets a response.
func acceptedCerts(addr string, certs map[string][]tls.Certificate) []string {
	var accepted []string
	for name, cert := range certs {
		t := &http.Transport{
			TLSClientConfig: &tls.Config{
				InsecureSkipVerify: true,
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
					if len(cert) == 0 {
						return new(tls.Certificate), nil
					}
					return &cert[0], nil
				},
			},
			ForceAttemptHTTP2: true,
		}
		c := http.Client{Transport: t, Timeout: 5 * time.Second}
		resp, err := c.Get("https://" + addr + "/who")
		if err == nil {
			_ = resp.Body.Close()
			accepted = append(accepted, name)
		}
		t.CloseIdleConnections()
	}
	return accepted
}

// Guards against requests that reach handlers of the peer port without a valid
// host certificate.
func TestPeerPortRefusesUntrustedCerts(t *testing.T) {
	now := time.Now()
	ca := must(NewAuthority(now, testValidity))
	s := startHost(t, "b", NewMemorySource(must(ca.Credentials("b", now, testValidity))), new(Resolver).Resolve, nil)
	certs := untrustedCerts(now, ca)
	if in := acceptedCerts(s.Addr().String(), certs); len(in) > 0 {
		t.Errorf("peer port accepted %q", in)
	}

	// acceptedCerts itself must notice a port that requests certificates without
	// verifying them.
	broken := httptest.NewUnstartedServer(http.NotFoundHandler())
	broken.TLS = &tls.Config{ClientAuth: tls.RequestClientCert}
	broken.StartTLS()
	defer broken.Close()
	if in := acceptedCerts(broken.Listener.Addr().String(), certs); len(in) != len(certs) {
		t.Errorf("acceptedCerts found %q at a port that verifies nothing", in)
	}
}

// Guards against a host that answers in place of another, senders that are not
// identified, and changed certificate files that are not reloaded.
func TestMutualAuthentication(t *testing.T) {
	now := time.Now()
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	ca := must(NewAuthority(now, testValidity))
	files := &FileSource{CertFile: path("c"), KeyFile: path("k"), RootsFile: path("r")}
	issue := func(ca *Authority) {
		if err := must(ca.Issue("b", now, testValidity)).WriteFiles(path("c"), path("k")); err != nil {
			t.Fatal(err)
		}
		if err := ca.KeyPair().WriteFiles(path("r"), path("rk")); err != nil {
			t.Fatal(err)
		}
	}
	issue(ca)
	b := startHost(t, "b", files, new(Resolver).Resolve, nil)
	var dials atomic.Int64
	dial := func(ctx context.Context, id cove.HostID, addr netip.AddrPort) (net.Conn, error) {
		dials.Add(1)
		return Dial(ctx, id, addr)
	}
	resolve := func(id cove.HostID) (netip.AddrPort, bool) { return b.Addr(), id != "gone" }
	src := NewMemorySource(must(ca.Credentials("a", now, testValidity)))
	a := startHost(t, "a", src, resolve, dial)
	for range 3 {
		if got, err := fetch(a, "b", "/who"); err != nil || got != "a" {
			t.Fatalf("sender is %q (%v), want a", got, err)
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections for 3 requests, want 1", n)
	}
	if got, err := fetch(a, "c", "/who"); err == nil {
		t.Errorf("host b answered %q in place of c", got)
	}
	if _, err := fetch(a, "gone", "/who"); !errors.Is(err, ErrNoAddress) {
		t.Errorf("error is %v, want ErrNoAddress", err)
	}

	next := must(NewAuthority(now, testValidity))
	issue(must(LoadAuthority(path("r"), path("rk"))))
	issue(next)
	b.refreshOnce()
	a.Forget("b")
	if _, err := fetch(a, "b", "/who"); err == nil {
		t.Error("host b still accepts the former authority after its files changed")
	}
	src.Set(must(next.Credentials("a", now, testValidity)))
	if _, err := fetch(a, "b", "/who"); err != nil {
		t.Errorf("after both sides have changed: %v", err)
	}
}

// frozenConn passes no data in either direction while frozen is set, like a
// network that drops all packets.
type frozenConn struct {
	net.Conn
	frozen *atomic.Bool
}

func (c frozenConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.frozen.Load() {
			return n, err
		}
	}
}

func (c frozenConn) Write(b []byte) (int, error) {
	if c.frozen.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against requests that hang on a broken connection.
func TestSilentConnectionIsDetected(t *testing.T) {
	now := time.Now()
	ca := must(NewAuthority(now, testValidity))
	b := startHost(t, "b", NewMemorySource(must(ca.Credentials("b", now, testValidity))), new(Resolver).Resolve, nil)
	frozen := new(atomic.Bool)
	dial := func(ctx context.Context, id cove.HostID, addr netip.AddrPort) (net.Conn, error) {
		c, err := Dial(ctx, id, addr)
		return frozenConn{c, frozen}, err
	}
	resolve := func(cove.HostID) (netip.AddrPort, bool) { return b.Addr(), true }
	a := startHost(t, "a", NewMemorySource(must(ca.Credentials("a", now, testValidity))), resolve, dial)
	if _, err := fetch(a, "b", "/who"); err != nil {
		t.Fatal(err)
	}
	frozen.Store(true)
	start := time.Now()
	if _, err := fetch(a, "b", "/hang"); err == nil {
		t.Error("a request on a silent connection got an answer")
	}
	// Expected after dataPingIdle + pingTimeout = 1 s; the rest allows for a slow
	// machine.
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("broken connection detected after %v", took)
	}
	frozen.Store(false)
	if _, err := fetch(a, "b", "/who"); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

// Guards against unauthenticated clients that keep hosts out with unfinished
// handshakes.
func TestUnfinishedHandshakesAreEvicted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newConnLimiter(inner, new(meter.Meter))
	l.maxConns, l.maxPending = 4, 2
	var accepted []net.Conn
	for i := range 5 {
		c := must(net.Dial("tcp", inner.Addr().String()))
		defer c.Close()
		accepted = append(accepted, must(l.Accept()))
		if i == 1 {
			l.authenticated(accepted[1])
		}
	}
	for i, open := range []bool{false, true, false, true, true} {
		_, err := accepted[i].Write([]byte("x"))
		if (err == nil) != open {
			t.Errorf("connection %d: open is %v, want %v", i, err == nil, open)
		}
	}
	if l.open != 3 {
		t.Errorf("%d connections counted, want 3", l.open)
	}
}
