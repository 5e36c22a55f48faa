package peertest

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityFile    = "ca.pem"
	authorityKeyFile = "ca.key"
)

// OpenAuthority reads the authority in ca.pem and ca.key of a directory, or
// makes one and writes it there.
func OpenAuthority(dir string, lifetime time.Duration) (*Authority, error) {
	key, err := os.ReadFile(filepath.Join(dir, authorityKeyFile))
	if errors.Is(err, fs.ErrNotExist) {
		return createAuthority(dir, lifetime)
	}
	if err != nil {
		return nil, err
	}
	certificate, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, err
	}
	return parseAuthority(certificate, key, lifetime)
}

func createAuthority(dir string, lifetime time.Duration) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, authorityFile)); err == nil {
		return nil, fmt.Errorf("%s has a certificate without its key %s", authorityFile, authorityKeyFile)
	}
	a, err := NewAuthority(lifetime)
	if err != nil {
		return nil, err
	}
	if err := writeKey(filepath.Join(dir, authorityKeyFile), a.key); err != nil {
		return nil, err
	}
	return a, writeCertificate(filepath.Join(dir, authorityFile), a.Certificate.Raw)
}

func writeCertificate(path string, der []byte) error {
	return writeBlock(path, "CERTIFICATE", der, 0o644)
}

// writeKey writes a private key that only the owner of the file may read.
func writeKey(path string, key any) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writeBlock(path, "PRIVATE KEY", der, 0o600)
}

func writeBlock(path, kind string, der []byte, mode os.FileMode) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

func parseAuthority(certificate, key []byte, lifetime time.Duration) (*Authority, error) {
	certificateBlock, _ := pem.Decode(certificate)
	keyBlock, _ := pem.Decode(key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, fmt.Errorf("%s or %s is not PEM", authorityFile, authorityKeyFile)
	}
	parsed, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, err
	}
	private, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, err
	}
	signer, ok := private.(*ecdsa.PrivateKey)
	if !ok || !signer.PublicKey.Equal(parsed.PublicKey) {
		return nil, fmt.Errorf("%s is not the key of %s", authorityKeyFile, authorityFile)
	}
	return &Authority{Certificate: parsed, key: signer, lifetime: lifetime}, nil
}
