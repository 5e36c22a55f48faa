package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

// protocolName is the ALPN name of the peer protocol.
const protocolName = "sequoia-peer/1"

// LoadTLS reads the PEM files of an instance and returns the configurations of
// its peer server and peer client.
func LoadTLS(files settings.TLS) (server, client *tls.Config, err error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, nil, result.New(result.SettingsInvalid, "[tls] %v", err)
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, nil, result.New(result.SettingsInvalid, "[tls] authority_file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, result.New(result.SettingsInvalid, "[tls] authority_file: no certificate in %s", files.AuthorityFile)
	}
	server, client = NewTLS(certificate, pool)
	return server, client, nil
}

// NewTLS returns mutual TLS configurations that accept only certificates of the
// authority with the name AuthenticatedSANName.
func NewTLS(certificate tls.Certificate, authority *x509.CertPool) (server, client *tls.Config) {
	server = &tls.Config{
		Certificates:     []tls.Certificate{certificate},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authority,
		NextProtos:       []string{protocolName},
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: verifyPeerName,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ServerName:   AuthenticatedSANName,
		NextProtos:   []string{protocolName},
		MinVersion:   tls.VersionTLS13,
	}
	return server, client
}

// verifyPeerName checks the name in a client certificate, which the standard
// verification of client certificates leaves out.
func verifyPeerName(state tls.ConnectionState) error {
	return state.PeerCertificates[0].VerifyHostname(AuthenticatedSANName)
}
