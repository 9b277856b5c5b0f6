// Package peer connects the processes of the system: mutual TLS identities and
// QUIC connections that carry one stream per call. It knows no message of any
// slice; slices hand it CBOR-encodable values.
package peer

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Role is what a process is allowed to act as.
type Role string

// The roles that a certificate can state.
const (
	RoleControl Role = "control"
	RoleNode    Role = "node"
)

// Identity is read from the peer's certificate, never from a message.
type Identity struct {
	Role       Role
	DataCentre model.DataCentre
	Host       model.HostID
}

const uriScheme = "balsamtrail"

// URI returns the form that stands in a certificate:
// balsamtrail://<role>/<data centre>/<host>.
func (id Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(id.Role), Path: "/" + string(id.DataCentre) + "/" + string(id.Host)}
}

// String returns the URI as text.
func (id Identity) String() string { return id.URI().String() }

// Matches reports whether id satisfies want; empty fields of want match anything.
func (id Identity) Matches(want Identity) bool {
	return (want.Role == "" || want.Role == id.Role) &&
		(want.DataCentre == "" || want.DataCentre == id.DataCentre) &&
		(want.Host == "" || want.Host == id.Host)
}

// IdentityOf reads the identity from a verified certificate.
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
