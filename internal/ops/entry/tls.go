package entry

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/config"
)

// certRefresh is how often the certificate files of the caller port are reloaded,
// so that a renewed certificate needs no restart.
const certRefresh = time.Minute

// callerTLS returns the TLS configuration of the caller port, nil for plain HTTP.
func callerTLS(c config.Caller) (*tls.Config, error) {
	if c.Cert == "" {
		return nil, nil
	}
	files := &certFiles{certFile: c.Cert, keyFile: c.Key}
	if _, err := files.getCertificate(nil); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: files.getCertificate,
	}, nil
}

// certFiles is a certificate that is reloaded from its files every certRefresh.
type certFiles struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	readAt  time.Time
}

// getCertificate implements tls.Config.GetCertificate.
func (f *certFiles) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && time.Since(f.readAt) < certRefresh {
		return f.current, nil
	}
	f.readAt = time.Now()
	cert, err := tls.LoadX509KeyPair(f.certFile, f.keyFile)
	if err != nil {
		if f.current != nil {
			// Keep the previous certificate: the files may be only half
			// written, and the port must keep serving.
			return f.current, nil
		}
		return nil, errors.Wrap(err, "load certificate of the caller port")
	}
	f.current = &cert
	return f.current, nil
}
