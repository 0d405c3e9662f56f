package wire

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// Keys are the shared keys that a process accepts from its peers. The first
// is the one it sends; a second one is accepted while keys are rotated.
type Keys []string

// Sign adds the key to a request between processes.
func (k Keys) Sign(h http.Header) {
	if len(k) > 0 {
		h.Set("Authorization", bearerPrefix+k[0])
	}
}

// Accept reports whether a request carries one of the keys. All keys are
// compared in constant time. Without keys nothing is accepted.
func (k Keys) Accept(h http.Header) bool {
	got := Bearer(h)
	ok := 0
	for _, key := range k {
		ok |= subtle.ConstantTimeCompare([]byte(got), []byte(key))
	}
	return ok == 1 && got != ""
}

// Bearer returns the bearer key of a request, or an empty string.
func Bearer(h http.Header) string {
	text, found := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !found {
		return ""
	}
	return text
}

// Require lets only requests with one of the keys reach next.
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
