package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"log/slog"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// SelfSigned returns the credentials of a process on a closed network without a
// certificate authority. Connections are encrypted, and each process states its
// identity, but the identity is not verified: anyone who can reach the ports of the
// network can impersonate any process. Both sides must use such credentials.
func SelfSigned(id Identity) (*Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "self-signed: %v", err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: string(id.Host)},
		// The validity period is not checked, since clocks may step.
		NotBefore:   time.Unix(0, 0),
		NotAfter:    time.Unix(1<<33, 0),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:        []*url.URL{id.URI()},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "self-signed: %v", err)
	}
	cert := &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &Credentials{selfSigned: true, cert: cert, id: id}, nil
}

// CredentialsOf returns the credentials of a process whose settings state the
// identity id: those in the files, or self-signed ones on a closed network.
func CredentialsOf(id Identity, files CredentialFiles, closedNetwork bool, log *slog.Logger) (*Credentials, error) {
	if closedNetwork {
		log.Warn("closed network: certificates are self-signed, peer identities are not verified")
		return SelfSigned(id)
	}
	creds, err := LoadCredentials(files)
	if err != nil {
		return nil, err
	}
	if got := creds.Identity(); got != id {
		return nil, eris.Wrapf(ErrIdentity, "certificate is for %s, settings say %s", got, id)
	}
	return creds, nil
}
