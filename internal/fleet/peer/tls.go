package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// serverTLS requires a host certificate in the handshake. The credentials are
// read for each connection, so that changed files apply at once.
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
			// A resumed session would skip the check against new authorities.
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

// clientTLS accepts only the host id as the other side. The usual check of a
// DNS name is replaced by that of the certificate's URI.
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
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	opts := x509.VerifyOptions{
		Roots:         creds.Roots,
		Intermediates: between,
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
