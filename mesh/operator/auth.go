package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/settings"
)

// tokens maps SHA-256 digests of bearer tokens to operators. Looking a token up
// by its digest keeps the duration of the look-up from revealing other tokens.
type tokens map[[sha256.Size]byte]model.OperatorName

func newTokens(operators []settings.Operator) (tokens, error) {
	t := tokens{}
	for _, o := range operators {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(o.TokenSHA256)); err != nil || n != len(digest) {
			return nil, eris.Wrapf(ErrInvalid, "token digest of operator %s is not SHA-256 in hexadecimal", o.Name)
		}
		t[digest] = o.Name
	}
	return t, nil
}

// authenticate returns the operator whose bearer token the request carries.
func (t tokens) authenticate(r *http.Request) (model.OperatorName, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", eris.Wrap(ErrUnauthorized, "a bearer token is required")
	}
	name, ok := t[sha256.Sum256([]byte(token))]
	if !ok {
		return "", eris.Wrap(ErrUnauthorized, "unknown token")
	}
	return name, nil
}

// TokenDigest returns the SHA-256 digest of a token in hexadecimal, as the
// setting token_sha256 expects it.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
