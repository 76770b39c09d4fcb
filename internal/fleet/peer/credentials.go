package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Credentials are a host's own certificate and its trusted authorities.
type Credentials struct {
	Cert  tls.Certificate
	Roots *x509.CertPool
	id    cove.HostID
}

// ParseCredentials parses a host's certificate and key and the certificates of
// its trusted authorities, all in PEM form.
func ParseCredentials(pair KeyPair, roots []byte) (*Credentials, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(roots) {
		return nil, errors.New("parse authorities: no certificate found")
	}
	id, err := HostOf(cert.Leaf)
	if err != nil {
		return nil, err
	}
	return &Credentials{Cert: cert, Roots: pool, id: id}, nil
}

// Host returns the host that the certificate names.
func (c *Credentials) Host() cove.HostID { return c.id }

// Source provides the current credentials.
type Source interface {
	Credentials() *Credentials
	// Refresh reloads the credentials and reports whether they have changed.
	// After an error the former ones stay in use.
	Refresh() (bool, error)
}

// MemorySource is a Source whose credentials are set by the program. It is ready
// for use after Set.
type MemorySource struct {
	current atomic.Pointer[Credentials]
}

// NewMemorySource returns a source that holds c.
func NewMemorySource(c *Credentials) *MemorySource {
	f := new(MemorySource)
	f.Set(c)
	return f
}

// Set replaces the credentials.
func (f *MemorySource) Set(c *Credentials) { f.current.Store(c) }

// Credentials returns the credentials set last.
func (f *MemorySource) Credentials() *Credentials { return f.current.Load() }

// Refresh does nothing: Set applies at once.
func (f *MemorySource) Refresh() (bool, error) { return false, nil }

// FileSource is a Source that reads PEM files. Refresh must succeed once before
// use.
type FileSource struct {
	CertFile  string
	KeyFile   string
	RootsFile string

	current  atomic.Pointer[Credentials]
	contents [3][]byte
}

// Credentials returns the credentials of the last successful Refresh.
func (f *FileSource) Credentials() *Credentials { return f.current.Load() }

// Refresh reads the files again. It must not be called concurrently.
func (f *FileSource) Refresh() (bool, error) {
	var contents [3][]byte
	for i, name := range []string{f.CertFile, f.KeyFile, f.RootsFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return false, errors.Wrap(err, "read credentials")
		}
		contents[i] = b
	}
	if f.current.Load() != nil && equalContents(contents, f.contents) {
		return false, nil
	}
	// If only one of certificate and key is written yet, they do not match;
	// parsing fails and the next refresh tries again.
	c, err := ParseCredentials(KeyPair{Cert: contents[0], Key: contents[1]}, contents[2])
	if err != nil {
		return false, err
	}
	f.contents = contents
	f.current.Store(c)
	return true, nil
}

func equalContents(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
