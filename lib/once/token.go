package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/fleet"
)

// maxTokenChars is the maximum length of a token's text.
const maxTokenChars = 1024

// Token permits one request to run once. It is valid only at the agent process
// that issued it.
type Token struct {
	Instance fleet.InstanceID `json:"i"`
	// Start is the random identifier of the agent's start.
	Start string `json:"s"`
	// Serial is unique among the tokens of one start.
	Serial   uint64         `json:"n"`
	Customer fleet.Customer `json:"c"`
	// Expires is when the token expires, as the time since the agent's start on
	// its monotonic clock.
	Expires time.Duration `json:"e"`
}

// sign returns the text of a token: its JSON and its HMAC, both in base64.
func (t Token) sign(secret []byte) (string, error) {
	payload, err := json.Marshal(t)
	if err != nil {
		return "", eris.Wrap(err, "encode token")
	}
	code := authenticate(payload, secret)
	return base64.RawURLEncoding.EncodeToString(payload) + "." + base64.RawURLEncoding.EncodeToString(code), nil
}

// SignedToken is a received token whose signature is not verified yet.
type SignedToken struct {
	Token
	payload []byte
	code    []byte
}

// DecodeToken parses the text of a token without verifying its signature.
func DecodeToken(text string) (*SignedToken, error) {
	if len(text) > maxTokenChars {
		return nil, eris.Errorf("token has %d characters, the limit is %d", len(text), maxTokenChars)
	}
	encodedPayload, encodedCode, found := strings.Cut(text, ".")
	if !found {
		return nil, eris.New("token has no authentication code")
	}
	payload, err := base64.RawURLEncoding.DecodeString(encodedPayload)
	if err != nil {
		return nil, eris.Wrap(err, "token")
	}
	code, err := base64.RawURLEncoding.DecodeString(encodedCode)
	if err != nil {
		return nil, eris.Wrap(err, "token")
	}
	t := &SignedToken{payload: payload, code: code}
	if err := json.Unmarshal(payload, &t.Token); err != nil {
		return nil, eris.Wrap(err, "token")
	}
	if t.Instance == "" || t.Start == "" {
		return nil, eris.New("token names no instance or no start")
	}
	return t, nil
}

// verify reports whether the token was signed with the secret.
func (t *SignedToken) verify(secret []byte) bool {
	return hmac.Equal(t.code, authenticate(t.payload, secret))
}

func authenticate(payload, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(payload)
	return h.Sum(nil)
}
