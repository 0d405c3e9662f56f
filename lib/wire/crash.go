package wire

import (
	"net/http"
	"strconv"

	"rattanspur.example/lib/poison"
)

// AnswerBegan reports whether a response with this status means that the upstream
// began to answer: neither an error of the upstream nor a refusal for lack of
// capacity says anything about what the request would do.
func AnswerBegan(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// SetCrash stores the identifier of a crash in a header.
func SetCrash(h http.Header, id poison.CrashID) {
	h.Set(HeaderCrash, strconv.FormatUint(uint64(id), 16))
}

// GetCrash reads the identifier of a crash from a header; ok is false if there is no
// valid one.
func GetCrash(h http.Header) (id poison.CrashID, ok bool) {
	n, err := strconv.ParseUint(h.Get(HeaderCrash), 16, 64)
	return poison.CrashID(n), err == nil
}
