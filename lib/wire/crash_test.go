package wire

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/poison"
)

// Guards against an error or a refusal of an upstream that counts as the beginning
// of an answer: it would clear a request that makes upstreams fail.
func TestErrorsAreNoBeginning(t *testing.T) {
	for status, began := range map[int]bool{
		http.StatusOK: true, http.StatusFound: true, http.StatusBadRequest: true,
		http.StatusTooManyRequests: false, http.StatusInternalServerError: false, http.StatusServiceUnavailable: false,
	} {
		require.Equal(t, began, AnswerBegan(status), status)
	}
}

// Guards against a crash that gets another identifier on its way, or one from a
// header that is not valid.
func TestCrashHeader(t *testing.T) {
	h := http.Header{}
	_, ok := GetCrash(h)
	require.False(t, ok)
	SetCrash(h, 1<<64-1)
	id, ok := GetCrash(h)
	require.True(t, ok)
	require.Equal(t, poison.CrashID(1<<64-1), id)
	h.Set(HeaderCrash, "no number")
	_, ok = GetCrash(h)
	require.False(t, ok)
}
