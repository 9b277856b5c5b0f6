// Package peer connects the processes of the system over QUIC with mutual TLS: each
// call has a stream of its own, and identities are read from certificates. The
// package knows none of the messages of other packages, which pass it values to
// encode as CBOR.
package peer

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Role is the kind of process that a certificate is issued for; it determines which
// methods the process may call.
type Role string

// The roles in certificates.
const (
	// RoleControl is the role of control hosts.
	RoleControl Role = "control"
	// RoleNode is the role of nodes.
	RoleNode Role = "node"
)

// Identity is who a process is. A peer's identity is read from its certificate,
// never from a message.
type Identity struct {
	Role       Role
	DataCentre model.DataCentre
	Host       model.HostID
}

// uriScheme is the scheme of the identity URI in a certificate.
const uriScheme = "balsamtrail"

// URI returns the identity as it appears in a certificate:
// balsamtrail://<role>/<data centre>/<host>.
func (id Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(id.Role), Path: "/" + string(id.DataCentre) + "/" + string(id.Host)}
}

// String returns the URI as text.
func (id Identity) String() string { return id.URI().String() }

// Matches reports whether id matches want; empty fields of want match anything.
func (id Identity) Matches(want Identity) bool {
	return (want.Role == "" || want.Role == id.Role) &&
		(want.DataCentre == "" || want.DataCentre == id.DataCentre) &&
		(want.Host == "" || want.Host == id.Host)
}

// IdentityOf reads the identity from a peer's certificate. It does not verify the
// certificate: the TLS handshake has done so, except on a closed network.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		return parseURI(u)
	}
	return Identity{}, eris.Wrap(ErrIdentity, "certificate carries no balsamtrail URI")
}

func parseURI(u *url.URL) (Identity, error) {
	dc, host, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	if !ok || dc == "" || host == "" || strings.Contains(host, "/") {
		return Identity{}, eris.Wrapf(ErrIdentity, "malformed URI %q", u)
	}
	role := Role(u.Host)
	if role != RoleControl && role != RoleNode {
		return Identity{}, eris.Wrapf(ErrIdentity, "unknown role %q", role)
	}
	return Identity{Role: role, DataCentre: model.DataCentre(dc), Host: model.HostID(host)}, nil
}
