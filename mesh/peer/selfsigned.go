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

// SelfSigned returns the credentials of a process on a closed network, where no
// certificate authority exists. Connections are encrypted, and a process still
// states its identity, but nobody proves one: whoever reaches the ports of the
// network can act as any process. Both sides must use such credentials.
func SelfSigned(id Identity) (*Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrapf(ErrCertificate, "self-signed: %v", err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: string(id.Host)},
		// The validity is not checked, since clocks may step.
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

// CredentialsOf returns the credentials of a process with the identity that its
// settings state: those in the files, or self-signed ones on a closed network.
func CredentialsOf(id Identity, files CredentialFiles, closedNetwork bool, log *slog.Logger) (*Credentials, error) {
	if closedNetwork {
		log.Warn("closed network: processes connect without credentials, nobody proves an identity")
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
