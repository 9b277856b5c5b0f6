package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// DevCA is a certificate authority for development and tests. It stores its key
// unencrypted in its directory, so it must not sign certificates for production.
type DevCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

const (
	// devCertLifetime is the validity of the CA certificate and of issued
	// certificates.
	devCertLifetime = 365 * 24 * time.Hour
	// caCertFile is the file name of the CA certificate.
	caCertFile = "ca.pem"
	// caKeyFile is the file name of the CA's private key.
	caKeyFile = "ca-key.pem"
)

// OpenDevCA opens the certificate authority in dir and creates it if there is none.
func OpenDevCA(dir string) (*DevCA, error) {
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); err == nil {
		return loadDevCA(dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA: %v", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA: %v", err)
	}
	tmpl := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: "balsamtrail development CA"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(devCertLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA: %v", err)
	}
	if err := writeKeyPair(filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile), der, key); err != nil {
		return nil, err
	}
	return loadDevCA(dir)
}

func loadDevCA(dir string) (*DevCA, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, caCertFile))
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA: %v", err)
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, caKeyFile))
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA: %v", err)
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA in %s is not PEM", dir)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA: %v", err)
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "development CA key: %v", err)
	}
	return &DevCA{dir: dir, cert: cert, key: key}, nil
}

// Issue writes a certificate and key for id as <host>.pem and <host>-key.pem and
// returns the file paths.
func (ca *DevCA) Issue(id Identity) (CredentialFiles, error) {
	name := string(id.Host)
	files := CredentialFiles{
		CA:          filepath.Join(ca.dir, caCertFile),
		Certificate: filepath.Join(ca.dir, name+".pem"),
		Key:         filepath.Join(ca.dir, name+"-key.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrapf(ErrCertificate, "issue: %v", err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devCertLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:         []*url.URL{id.URI()},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		DNSNames:     []string{"localhost"},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return files, eris.Wrapf(ErrCertificate, "issue: %v", err)
	}
	return files, writeKeyPair(files.Certificate, files.Key, der, key)
}

// newSerialNumber returns a random serial number of up to 120 bits.
func newSerialNumber() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // rand.Reader does not return errors
	}
	return n
}

// writeKeyPair writes a certificate and its private key as PEM files.
func writeKeyPair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrapf(ErrCertificate, "encode key: %v", err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(certFile, certPEM, 0o644); err != nil {
		return eris.Wrapf(ErrCertificate, "write: %v", err)
	}
	if err := os.WriteFile(keyFile, keyPEM, 0o600); err != nil {
		return eris.Wrapf(ErrCertificate, "write: %v", err)
	}
	return nil
}
