package note

import (
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note/strictjson"
)

// Limits of a note.
const (
	// MaxNoteBytes is the maximum size of the JSON form of a note.
	MaxNoteBytes = 1 << 20
	// maxNoteEntries is the maximum number of entries in all lists of a note, so that
	// the retained notes have a bounded size.
	maxNoteEntries = 1_024
	// maxTitleLength is the maximum length of a title in bytes.
	maxTitleLength = 200
	// maxWatchTime is the upper limit of Move.WatchFor; the old version is kept warm
	// for that long.
	maxWatchTime = 7 * 24 * time.Hour
)

// Changes lists what a note adds, changes and withdraws. Added and Changed hold
// complete definitions, Withdrawn holds names.
type Changes[T any] struct {
	Added     []T      `cbor:"1,keyasint,omitempty" json:"added,omitempty"`
	Changed   []T      `cbor:"2,keyasint,omitempty" json:"changed,omitempty"`
	Withdrawn []string `cbor:"3,keyasint,omitempty" json:"withdrawn,omitempty"`
}

// ServiceShares sets the traffic shares of one service. They replace all earlier
// shares: a version that is not listed receives no more traffic.
type ServiceShares struct {
	Service model.ServiceName `cbor:"1,keyasint" json:"service"`
	Shares  Shares            `cbor:"2,keyasint" json:"shares"`
}

// Move shifts all traffic of a service to one version by a deadline. For a
// service without shares, the target is its first version and takes all traffic
// at once.
type Move struct {
	Service model.ServiceName    `cbor:"1,keyasint" json:"service"`
	To      model.ServiceVersion `cbor:"2,keyasint" json:"to"`
	// By is the deadline for completing the move.
	By time.Time `cbor:"3,keyasint" json:"by"`
	// WatchFor is how long after completion the move is still reversed if the new
	// version turns out to be bad.
	WatchFor time.Duration `cbor:"4,keyasint" json:"watch_for"`
}

// Note is a release note: a numbered configuration change by an operator.
type Note struct {
	// Number is chosen by the operator and must be one more than the newest note's.
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// Revision is 1 for a published note and increases by 1 with each amendment and
	// with the withdrawal.
	Revision uint64           `cbor:"2,keyasint" json:"revision,omitempty"`
	Title    string           `cbor:"3,keyasint" json:"title"`
	Services Changes[Service] `cbor:"4,keyasint" json:"services,omitempty"`
	Routes   Changes[Route]   `cbor:"5,keyasint" json:"routes,omitempty"`
	Shares   []ServiceShares  `cbor:"6,keyasint,omitempty" json:"shares,omitempty"`
	Moves    []Move           `cbor:"7,keyasint,omitempty" json:"moves,omitempty"`
	// Declared marks a note made from a declaration. Its new services may lack
	// shares: their first version comes from the announcements of backend servers.
	Declared bool `cbor:"8,keyasint,omitempty" json:"-"`
	// Limits replaces the limits of callers' requests; nil leaves them as they are.
	Limits *CallerLimits `cbor:"9,keyasint,omitempty" json:"limits,omitempty"`
}

// ParseNote decodes the JSON form of a note and checks what does not depend on
// the configuration. The error names the field.
func ParseNote(data []byte) (Note, error) {
	if len(data) > MaxNoteBytes {
		return Note{}, invalid("", "%d bytes, at most %d", len(data), MaxNoteBytes)
	}
	var n Note
	if err := strictjson.Unmarshal(data, &n); err != nil {
		return Note{}, invalidJSON(err)
	}
	return n, n.Check()
}

// MarshalJSON encodes the note in the form that ParseNote reads.
func (n Note) MarshalJSON() ([]byte, error) { return strictjson.Marshal(n) }

func (n Note) entries() int {
	limits := 0
	if n.Limits != nil {
		limits = 1
	}
	return n.Services.entries() + n.Routes.entries() + len(n.Shares) + len(n.Moves) + limits
}

func (c Changes[T]) entries() int { return len(c.Added) + len(c.Changed) + len(c.Withdrawn) }

// Check checks what does not depend on the configuration: ranges, names and
// repeated entries.
func (n Note) Check() error {
	switch {
	case n.Number == 0:
		return invalid("number", "0, want at least 1")
	case len(n.Title) > maxTitleLength:
		return invalid("title", "%d bytes, at most %d", len(n.Title), maxTitleLength)
	case n.entries() > maxNoteEntries && !n.Declared:
		return invalid("", "%d entries, at most %d: split the note", n.entries(), maxNoteEntries)
	case n.entries() == 0:
		return invalid("", "the note changes nothing")
	}
	if err := n.checkServices(); err != nil {
		return err
	}
	if err := n.checkRoutes(); err != nil {
		return err
	}
	if n.Limits != nil {
		if err := validateLimits(*n.Limits); err != nil {
			return err
		}
	}
	return n.checkTraffic()
}

func (n Note) checkServices() error {
	name := func(s Service) string { return string(s.Name) }
	if err := checkUnique("services", n.Services, name); err != nil {
		return err
	}
	return eachDefinition("services", n.Services, func(field string, s Service) error {
		return validateService(field, s.Name, s)
	})
}

func (n Note) checkRoutes() error {
	name := func(r Route) string { return string(r.Name) }
	if err := checkUnique("routes", n.Routes, name); err != nil {
		return err
	}
	return eachDefinition("routes", n.Routes, func(field string, r Route) error {
		return validateRoute(field, r.Name, r)
	})
}

// eachDefinition calls check with the path and value of each added or changed
// definition, up to the first error.
func eachDefinition[T any](list string, c Changes[T], check func(field string, v T) error) error {
	for i, v := range c.Added {
		if err := check(indexPath(list+".added", i), v); err != nil {
			return err
		}
	}
	for i, v := range c.Changed {
		if err := check(indexPath(list+".changed", i), v); err != nil {
			return err
		}
	}
	return nil
}

// checkUnique refuses a name that occurs more than once in c.
func checkUnique[T any](list string, c Changes[T], name func(T) string) error {
	seen := map[string]bool{}
	checkOnce := func(field, name string) error {
		if seen[name] {
			return invalid(field, "%q is named twice", name)
		}
		seen[name] = true
		return nil
	}
	err := eachDefinition(list, c, func(field string, v T) error { return checkOnce(field, name(v)) })
	if err != nil {
		return err
	}
	for i, w := range c.Withdrawn {
		if err := checkOnce(indexPath(list+".withdrawn", i), w); err != nil {
			return err
		}
	}
	return nil
}

// checkTraffic checks shares and moves. A service may have only one entry in the
// two lists together, so that the note sets its traffic unambiguously.
func (n Note) checkTraffic() error {
	seen := map[model.ServiceName]bool{}
	for i, s := range n.Shares {
		field := indexPath("shares", i)
		if seen[s.Service] {
			return invalid(field+".service", "%q is named twice", s.Service)
		}
		seen[s.Service] = true
		if err := validateShares(field+".shares", s.Shares); err != nil {
			return err
		}
	}
	for i, m := range n.Moves {
		field := indexPath("moves", i)
		if seen[m.Service] {
			return invalid(field+".service", "%q has shares or another move in this note", m.Service)
		}
		seen[m.Service] = true
		if err := m.check(field); err != nil {
			return err
		}
	}
	return nil
}

func (m Move) check(field string) error {
	switch {
	case !validVersion(m.To):
		return invalid(field+".to", "%q is not a version name", m.To)
	case m.By.IsZero():
		return invalid(field+".by", "the deadline is missing")
	case m.WatchFor < 0 || m.WatchFor > maxWatchTime:
		return invalid(field+".watch_for", "%s, want 0 to %s", m.WatchFor, maxWatchTime)
	}
	return nil
}
