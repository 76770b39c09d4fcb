package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// clockSkew backdates certificates, so that hosts whose clock is behind
	// accept them at once.
	clockSkew  = time.Hour
	serialBits = 127
)

// KeyPair is a certificate with its private key, both in PEM form.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// WriteFiles writes the certificate and the key. Only the owner can read the
// key file.
func (p KeyPair) WriteFiles(certFile, keyFile string) error {
	if err := os.WriteFile(keyFile, p.Key, 0o600); err != nil {
		return errors.Wrap(err, "write key")
	}
	if err := os.WriteFile(certFile, p.Cert, 0o644); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return nil
}

// Authority issues the certificates of a fleet's hosts.
type Authority struct {
	pair KeyPair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority that is valid from now for the given time.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	template, err := newTemplate("turmericcove authority", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority parses an authority's certificate and key.
func ParseAuthority(pair KeyPair) (*Authority, error) {
	c, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority")
	}
	key, ok := c.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("parse authority: key is a %T", c.PrivateKey)
	}
	if !c.Leaf.IsCA {
		return nil, errors.New("parse authority: not a CA certificate")
	}
	return &Authority{pair: pair, cert: c.Leaf, key: key}, nil
}

// LoadAuthority reads an authority from files.
func LoadAuthority(certFile, keyFile string) (*Authority, error) {
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	return ParseAuthority(KeyPair{Cert: cert, Key: key})
}

// KeyPair returns the authority's own certificate and key.
func (a *Authority) KeyPair() KeyPair { return a.pair }

// Issue creates a certificate and key for a host.
func (a *Authority) Issue(id cove.HostID, now time.Time, validity time.Duration) (KeyPair, error) {
	if err := CheckID(id); err != nil {
		return KeyPair{}, err
	}
	template, err := newTemplate(string(id), now, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.URIs = []*url.URL{hostURI(id)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := newKey()
	if err != nil {
		return KeyPair{}, err
	}
	return sign(template, a.cert, key, a.key)
}

// Credentials issues a certificate for a host and returns its credentials.
func (a *Authority) Credentials(id cove.HostID, now time.Time, validity time.Duration) (*Credentials, error) {
	pair, err := a.Issue(id, now, validity)
	if err != nil {
		return nil, err
	}
	return ParseCredentials(pair, a.pair.Cert)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	return key, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode key")
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
