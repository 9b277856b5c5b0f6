package note

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamtrail.org/mesh/model"
)

// maxDeclarationDigests is the number of accepted declarations whose digests are
// kept. A digest distinguishes a resend from another declaration of the same version.
const maxDeclarationDigests = 4_096

// maxDocumentBytes is the maximum size of Declare.Document.
const maxDocumentBytes = 1 << 20

// Declare replaces all services and routes with those of a complete
// configuration, which an operator keeps under version numbers of its own. The
// state publishes the difference to the current configuration as a release note.
// Services that remain keep their shares and moves.
type Declare struct {
	// Version is the operator's version number of the configuration. Versions
	// increase, but need not be consecutive.
	Version uint64 `cbor:"1,keyasint"`
	// Base is the version that the operator started from; 0 for the first
	// declaration. The declaration is refused if another version is current.
	Base     uint64    `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Routes   []Route   `cbor:"4,keyasint"`
	// Document is the configuration in the operator's own format. It is stored and
	// returned unchanged.
	Document []byte       `cbor:"5,keyasint,omitempty"`
	Limits   CallerLimits `cbor:"6,keyasint,omitempty"`
}

// Declaration is the newest accepted declaration.
type Declaration struct {
	Version  uint64         `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	Document []byte         `cbor:"3,keyasint,omitempty"`
}

// declarationDigest identifies the content of an accepted declaration.
type declarationDigest struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"`
}

// declarations holds the newest declaration and the digests of recent ones.
type declarations struct {
	current Declaration
	// accepted is in order of acceptance, which is also the order of versions.
	accepted []declarationDigest
}

func newDeclarations() declarations { return declarations{} }

// declarationsSnapshot is the encoded form of declarations.
type declarationsSnapshot struct {
	Current  Declaration         `cbor:"1,keyasint"`
	Accepted []declarationDigest `cbor:"2,keyasint,omitempty"`
}

func (d *declarations) snapshot() declarationsSnapshot {
	return declarationsSnapshot{Current: d.current, Accepted: d.accepted}
}

func (s declarationsSnapshot) restore() declarations {
	return declarations{current: s.Current, accepted: s.Accepted}
}

// find returns the digest of the accepted declaration of a version.
func (d *declarations) find(version uint64) (digest uint64, ok bool) {
	i, ok := slices.BinarySearchFunc(d.accepted, version, func(a declarationDigest, v uint64) int {
		switch {
		case a.Version < v:
			return -1
		case a.Version > v:
			return 1
		}
		return 0
	})
	if !ok {
		return 0, false
	}
	return d.accepted[i].Digest, true
}

func (d *declarations) add(current Declaration, digest uint64) {
	d.current = current
	d.accepted = append(d.accepted, declarationDigest{Version: current.Version, Digest: digest})
	if len(d.accepted) > maxDeclarationDigests {
		d.accepted = slices.Clone(d.accepted[len(d.accepted)-maxDeclarationDigests:])
	}
}

// Declared returns the newest accepted declaration; its version is 0 before the first.
func (s *State) Declared() Declaration { return s.declared.current }

// digest returns a hash of all fields of the declaration.
func (d *Declare) digest() (uint64, error) {
	raw, err := encode(*d)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(raw), nil
}

// declare accepts a declaration based on the current version. A resend of an
// accepted declaration succeeds and changes nothing.
func (s *State) declare(c Command, pos model.Position) (Result, error) {
	d := c.Declare
	digest, err := d.digest()
	if err != nil {
		return Result{}, err
	}
	current := s.declared.current
	if known, ok := s.declared.find(d.Version); ok {
		if known == digest {
			return Result{Number: s.head}, nil
		}
		return Result{}, &conflictError{message: fmt.Sprintf("version %d was declared with other content", d.Version)}
	}
	if d.Base != current.Version {
		return Result{}, &conflictError{message: fmt.Sprintf("version %d is current, the declaration builds on %d", current.Version, d.Base)}
	}
	if err := d.check(current.Version); err != nil {
		return Result{}, err
	}
	n, changes, err := s.noteForDeclaration(d)
	if err != nil {
		return Result{}, err
	}
	r := Result{Number: s.head}
	if changes {
		if r, err = s.publish(Command{
			Operator: c.Operator, Operation: c.Operation, Time: c.Time, Publish: &Publish{Note: n},
		}, pos); err != nil {
			return Result{}, err
		}
	}
	s.declared.add(Declaration{Version: d.Version, Position: pos, Document: d.Document}, digest)
	return r, nil
}

func (d *Declare) check(current uint64) error {
	switch {
	case d.Version <= current:
		return invalid("version", "%d is not above the current version %d", d.Version, current)
	case len(d.Document) > maxDocumentBytes:
		return invalid("", "%d bytes, at most %d", len(d.Document), maxDocumentBytes)
	}
	return nil
}

// Validate checks what does not depend on the current configuration, so that a front end can
// refuse a declaration before it is submitted. The error names the field.
func (d *Declare) Validate() error {
	_, err := d.config()
	return err
}

// config returns the declared configuration if it is valid.
func (d *Declare) config() (Config, error) {
	c := NewConfig()
	c.Limits = d.Limits
	for i, svc := range d.Services {
		if _, ok := c.Services[svc.Name]; ok {
			return c, invalid(indexPath("services", i), "%q is named twice", svc.Name)
		}
		c.Services[svc.Name] = svc
	}
	for i, r := range d.Routes {
		if _, ok := c.Routes[r.Name]; ok {
			return c, invalid(indexPath("routes", i), "%q is named twice", r.Name)
		}
		c.Routes[r.Name] = r
	}
	if err := Validate(c); err != nil {
		return c, err
	}
	return c, validateDistinctRoutes(c, d.Routes)
}

// noteForDeclaration returns the note that turns the current services and routes
// into the declared ones; changes is false if there is no difference.
func (s *State) noteForDeclaration(d *Declare) (n Note, changes bool, err error) {
	want, err := d.config()
	if err != nil {
		return Note{}, false, err
	}
	diff := Diff(Config{Services: s.config.Services, Routes: s.config.Routes, Limits: s.config.Limits}, want)
	n = Note{Number: s.head + 1, Title: fmt.Sprintf("declared version %d", d.Version), Declared: true, Limits: diff.Limits}
	for _, svc := range diff.Services {
		if _, ok := s.config.Services[svc.Name]; ok {
			n.Services.Changed = append(n.Services.Changed, svc)
			continue
		}
		n.Services.Added = append(n.Services.Added, svc)
	}
	for _, r := range diff.Routes {
		if _, ok := s.config.Routes[r.Name]; ok {
			n.Routes.Changed = append(n.Routes.Changed, r)
			continue
		}
		n.Routes.Added = append(n.Routes.Added, r)
	}
	for _, name := range diff.RemovedServices {
		n.Services.Withdrawn = append(n.Services.Withdrawn, string(name))
	}
	for _, name := range diff.RemovedRoutes {
		n.Routes.Withdrawn = append(n.Routes.Withdrawn, string(name))
	}
	return n, n.entries() > 0, nil
}
