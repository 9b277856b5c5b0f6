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

// tokens maps digests of bearer tokens to operators. A token is looked up by
// its digest, so the time of a look-up tells nothing about other tokens.
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

// authenticate returns the authenticate whose token the request carries.
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

// TokenDigest returns the digest of a token as settings hold it.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
