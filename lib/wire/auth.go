package wire

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// Keys are the shared keys that authenticate the processes of the system to each
// other. A process sends the first key and accepts all of them, so that keys can
// be rotated.
type Keys []string

// Authorize adds the first key to the header of a request to a peer.
func (k Keys) Authorize(h http.Header) {
	if len(k) > 0 {
		h.Set("Authorization", bearerPrefix+k[0])
	}
}

// Accept reports whether a request carries one of the keys. It compares all keys
// in constant time. Without keys, it accepts no request.
func (k Keys) Accept(h http.Header) bool {
	got := Bearer(h)
	matched := 0
	for _, key := range k {
		matched |= subtle.ConstantTimeCompare([]byte(got), []byte(key))
	}
	return matched == 1 && got != ""
}

// Bearer returns the key in an Authorization header of the Bearer scheme, or an
// empty string.
func Bearer(h http.Header) string {
	text, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !found {
		return ""
	}
	return text
}

// Require returns a handler that passes requests with one of the keys to next
// and answers others with status 401.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Accept(r.Header) {
			WriteProblem(w, &Problem{
				Type: ProblemUnauthorized, Title: "key is missing or wrong",
				Status: http.StatusUnauthorized, Outcome: NotRun,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}
