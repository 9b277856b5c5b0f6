package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

type devCACmd struct {
	Dir      string   `arg:"" help:"Folder of the CA; created if it does not exist."`
	Control  []string `help:"Issue a certificate for a control host." placeholder:"DATA-CENTRE/HOST"`
	Node     []string `help:"Issue a certificate for a node." placeholder:"DATA-CENTRE/HOST"`
	Operator []string `help:"Issue operator.pem, the certificate of the operator interface, for these names and IP addresses." placeholder:"NAME"`
}

// Help implements kong.HelpProvider.
func (devCACmd) Help() string {
	return `Creates a certificate authority (CA) for development and issues certificates. The CA's key is not encrypted, so
do not use it for a mesh in production. Certificates that exist already are reissued.

Example:
  balsamtrail dev-ca examples/aare/certs --control thun/c1 --node thun/ledger-1 --operator 127.0.0.1`
}

// Run issues the certificates and prints the paths of their files.
func (c *devCACmd) Run(e *env) error {
	ca, err := peer.OpenDevCA(c.Dir)
	if err != nil {
		return err
	}
	issued := []string{filepath.Join(c.Dir, "ca.pem")}
	for _, group := range []struct {
		role  peer.Role
		hosts []string
	}{{peer.RoleControl, c.Control}, {peer.RoleNode, c.Node}} {
		for _, h := range group.hosts {
			file, err := issueProcessCertificate(ca, group.role, h)
			if err != nil {
				return err
			}
			issued = append(issued, file)
		}
	}
	if len(c.Operator) > 0 {
		file, err := issueServerCertificate(c.Dir, c.Operator)
		if err != nil {
			return err
		}
		issued = append(issued, file)
	}
	return e.print(issued, func(t *table) {
		for _, f := range issued {
			t.row(f)
		}
	})
}

// issueProcessCertificate issues a certificate for a control host or node, given as
// data-centre/host, and returns the path of its file.
func issueProcessCertificate(ca *peer.DevCA, role peer.Role, text string) (string, error) {
	dc, host, ok := strings.Cut(text, "/")
	if !ok || dc == "" || host == "" || strings.ContainsAny(host, `/\`) {
		return "", eris.Wrapf(errUsage, "%q is not data-centre/host", text)
	}
	files, err := ca.Issue(peer.Identity{Role: role, DataCentre: model.DataCentre(dc), Host: model.HostID(host)})
	return files.Certificate, err
}

// serverCertificateLifetime is the validity of the operator interface's certificate.
const serverCertificateLifetime = 365 * 24 * time.Hour

// issueServerCertificate issues the certificate of the operator interface for the
// given DNS names and IP addresses and returns the path of its file. It contains
// no process identity: with one, the holder of its key could act as a control host.
func issueServerCertificate(dir string, names []string) (string, error) {
	ca, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca-key.pem"))
	if err != nil {
		return "", err
	}
	parent, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return "", err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return "", err
	}
	tmpl := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: "balsamtrail operator interface"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(serverCertificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			tmpl.IPAddresses = append(tmpl.IPAddresses, ip)
			continue
		}
		tmpl.DNSNames = append(tmpl.DNSNames, n)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", err
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, ca.PrivateKey)
	if err != nil {
		return "", err
	}
	return writeServerCertificate(dir, der, key)
}

// writeServerCertificate writes operator-key.pem and operator.pem and returns the
// path of the latter.
func writeServerCertificate(dir string, der []byte, key *ecdsa.PrivateKey) (string, error) {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "operator.pem")
	for _, f := range []struct {
		path, kind string
		der        []byte
		mode       os.FileMode
	}{
		{filepath.Join(dir, "operator-key.pem"), "EC PRIVATE KEY", keyDER, 0o600},
		{file, "CERTIFICATE", der, 0o644},
	} {
		data := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := renameio.WriteFile(f.path, data, f.mode); err != nil {
			return "", err
		}
	}
	return file, nil
}
