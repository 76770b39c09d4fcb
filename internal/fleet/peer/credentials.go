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

// Credentials are a host's own certificate and the authorities that it trusts.
type Credentials struct {
	Cert  tls.Certificate
	Roots *x509.CertPool
	id    cove.HostID
}

// ParseCredentials reads credentials from their PEM form.
func ParseCredentials(pair KeyPair, roots []byte) (*Credentials, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(roots) {
		return nil, errors.New("parse authorities: no certificate")
	}
	id, err := HostOf(cert.Leaf)
	if err != nil {
		return nil, err
	}
	return &Credentials{Cert: cert, Roots: pool, id: id}, nil
}

// Host returns the host that the certificate names.
func (c *Credentials) Host() cove.HostID { return c.id }

// Source gives the credentials in force.
type Source interface {
	Credentials() *Credentials
	// Refresh takes up changed credentials. It reports whether they changed;
	// after an error the former ones stay in force.
	Refresh() (bool, error)
}

// MemorySource is a Source that can be replaced by hand. It is ready after Set.
type MemorySource struct {
	cur atomic.Pointer[Credentials]
}

// NewMemorySource returns a source of these credentials.
func NewMemorySource(c *Credentials) *MemorySource {
	f := new(MemorySource)
	f.Set(c)
	return f
}

// Set replaces the credentials.
func (f *MemorySource) Set(c *Credentials) { f.cur.Store(c) }

// Credentials returns the last ones set.
func (f *MemorySource) Credentials() *Credentials { return f.cur.Load() }

// Refresh does nothing.
func (f *MemorySource) Refresh() (bool, error) { return false, nil }

// FileSource is a Source that reads PEM files.
type FileSource struct {
	CertFile  string
	KeyFile   string
	RootsFile string

	cur  atomic.Pointer[Credentials]
	read [3][]byte
}

// Credentials returns those of the last successful Refresh.
func (f *FileSource) Credentials() *Credentials { return f.cur.Load() }

// Refresh reads the files again. It must not be called concurrently.
func (f *FileSource) Refresh() (bool, error) {
	var read [3][]byte
	for i, name := range []string{f.CertFile, f.KeyFile, f.RootsFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return false, errors.Wrap(err, "read credentials")
		}
		read[i] = b
	}
	if f.cur.Load() != nil && sameFiles(read, f.read) {
		return false, nil
	}
	// A certificate that does not match its key, because only one of the two
	// files is written yet, fails here and is tried again at the next refresh.
	c, err := ParseCredentials(KeyPair{Cert: read[0], Key: read[1]}, read[2])
	if err != nil {
		return false, err
	}
	f.read = read
	f.cur.Store(c)
	return true, nil
}

func sameFiles(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
