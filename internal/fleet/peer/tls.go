package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// serverTLS requires a host certificate from clients. The credentials are read
// for each connection, so that reloaded ones apply at once.
func serverTLS(src Source, authenticated func(net.Conn)) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		creds := src.Credentials()
		if creds == nil {
			return nil, errors.New("no credentials")
		}
		conn := hello.Conn
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{creds.Cert},
			ClientCAs:    creds.Roots,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			NextProtos:   []string{"h2"},
			// A resumed session would not be checked against changed authorities.
			SessionTicketsDisabled: true,
			VerifyConnection: func(state tls.ConnectionState) error {
				if _, err := HostOf(state.PeerCertificates[0]); err != nil {
					return err
				}
				authenticated(conn)
				return nil
			},
		}, nil
	}
	return base
}

// clientTLS accepts only a server with the certificate of host id. It verifies
// the URI in the certificate instead of a DNS name.
func clientTLS(src Source, id cove.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"h2"},
		SessionTicketsDisabled: true,
		InsecureSkipVerify:     true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			creds := src.Credentials()
			if creds == nil {
				return nil, errors.New("no credentials")
			}
			return &creds.Cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(src.Credentials(), id, state)
		},
	}
}

func verifyServer(creds *Credentials, id cove.HostID, state tls.ConnectionState) error {
	if creds == nil {
		return errors.New("no credentials")
	}
	if len(state.PeerCertificates) == 0 {
		return ErrNotHost
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	opts := x509.VerifyOptions{
		Roots:         creds.Roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := leaf.Verify(opts); err != nil {
		return errors.Wrapf(err, "verify host %s", id)
	}
	got, err := HostOf(leaf)
	if err != nil {
		return err
	}
	if got != id {
		return errors.Errorf("host %s answers in place of %s", got, id)
	}
	return nil
}
