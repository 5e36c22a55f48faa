// Package peertest makes certificate authorities and peer certificates for
// tests, the demo and sequoiactl.
package peertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"path/filepath"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/peer"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

const (
	// clockTolerance accepts certificates on machines whose clocks are behind.
	clockTolerance = time.Hour
	// DefaultLifetime is the lifetime of authorities and certificates.
	DefaultLifetime = 365 * 24 * time.Hour
)

// Authority is a certificate authority in memory.
type Authority struct {
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	lifetime    time.Duration
}

// NewAuthority makes a certificate authority with a new key.
func NewAuthority(lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("sequoia peer authority", lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{Certificate: certificate, key: key, lifetime: lifetime}, nil
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockTolerance),
		NotAfter:     time.Now().Add(lifetime),
	}, nil
}

// Issue makes a peer certificate. The addresses let operators' HTTPS clients
// verify the same certificate.
func (a *Authority) Issue(name string, addresses ...net.IP) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template, err := newTemplate(name, a.lifetime)
	if err != nil {
		return tls.Certificate{}, err
	}
	template.DNSNames = []string{peer.AuthenticatedSANName}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Certificate, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// TLS issues a certificate and returns the configurations of a peer server and
// a peer client.
func (a *Authority) TLS(name string, addresses ...net.IP) (server, client *tls.Config, err error) {
	certificate, err := a.Issue(name, addresses...)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.Certificate)
	server, client = peer.NewTLS(certificate, pool)
	return server, client, nil
}

// WritePEM issues a certificate and writes NAME.pem, NAME.key and ca.pem into
// an existing directory.
func (a *Authority) WritePEM(dir, name string, addresses ...net.IP) (settings.TLS, error) {
	files := settings.TLS{
		CertificateFile: filepath.Join(dir, name+".pem"),
		KeyFile:         filepath.Join(dir, name+".key"),
		AuthorityFile:   filepath.Join(dir, authorityFile),
	}
	certificate, err := a.Issue(name, addresses...)
	if err != nil {
		return files, err
	}
	if err := writeCertificate(files.CertificateFile, certificate.Certificate[0]); err != nil {
		return files, err
	}
	if err := writeKey(files.KeyFile, certificate.PrivateKey); err != nil {
		return files, err
	}
	return files, writeCertificate(files.AuthorityFile, a.Certificate.Raw)
}
