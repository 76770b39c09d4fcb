// Package peer connects the entry hosts of the fleet with each other: a port
// that serves HTTP/2 with mutual TLS, and HTTP clients for the other hosts.
package peer

import (
	"crypto/x509"
	"net/url"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	uriScheme = "cove"
	uriHost   = "host"
	// maxIDBytes is the longest label of a DNS name; a host id is the host name of
	// a URL.
	maxIDBytes = 63
)

// ErrNotHost means that a certificate does not name a host of the fleet.
var ErrNotHost = errors.New("certificate does not name a host")

// CheckID returns an error unless an id can stand in a certificate and a URL.
func CheckID(id cove.HostID) error {
	if len(id) == 0 || len(id) > maxIDBytes {
		return errors.Errorf("host id %q: want 1 to %d bytes", id, maxIDBytes)
	}
	for _, r := range id {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case r == '-', r == '_', r == '.':
		default:
			return errors.Errorf("host id %q: character %q", id, r)
		}
	}
	return nil
}

func hostURI(id cove.HostID) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: uriHost, Path: "/" + string(id)}
}

// HostOf returns the host that a certificate names. A host certificate has
// exactly one URI.
func HostOf(cert *x509.Certificate) (cove.HostID, error) {
	if len(cert.URIs) != 1 {
		return "", ErrNotHost
	}
	uri := cert.URIs[0]
	if uri.Scheme != uriScheme || uri.Host != uriHost || len(uri.Path) < 2 {
		return "", ErrNotHost
	}
	id := cove.HostID(uri.Path[1:])
	if CheckID(id) != nil {
		return "", ErrNotHost
	}
	return id, nil
}
