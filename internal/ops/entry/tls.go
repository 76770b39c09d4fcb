package entry

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/config"
)

// certRefresh is how often the files of the caller port's certificate are read
// again, so that a renewed certificate needs no restart.
const certRefresh = time.Minute

// callerTLS returns the TLS settings of the caller port, nil for plain HTTP.
func callerTLS(c config.Caller) (*tls.Config, error) {
	if c.Cert == "" {
		return nil, nil
	}
	files := &certFiles{cert: c.Cert, key: c.Key}
	if _, err := files.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: files.get,
	}, nil
}

// certFiles is a certificate that is read from files again at intervals.
type certFiles struct {
	cert, key string

	mu   sync.Mutex
	cur  *tls.Certificate
	read time.Time
}

func (f *certFiles) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cur != nil && time.Since(f.read) < certRefresh {
		return f.cur, nil
	}
	f.read = time.Now()
	cert, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		if f.cur != nil {
			// A half-written pair must not stop the port; the old one stays.
			return f.cur, nil
		}
		return nil, errors.Wrap(err, "certificate of the caller port")
	}
	f.cur = &cert
	return f.cur, nil
}
