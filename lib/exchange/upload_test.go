package exchange

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock/socktest"
)

// upload is the body of a request that is still being written when its response arrives.
var upload = strings.Repeat("x", socktest.UploadBytes)

// earlyOptions are the options with which a response to an upload is received.
func earlyOptions(u *socktest.Undelimited) []Options {
	if u.Events {
		return []Options{{EventStream: true}, {}}
	}
	return []Options{{}, {HoldServerErrors: true}}
}

// Guards against the part of a response that counts as the whole one: the upstream responds
// to an upload without a length and resets the connection. The kernel reports a reset once.
// If the write of the upload gets it, the read that follows finds an orderly end.
func TestResetDuringAnUploadIsNoEndOfItsAnswer(t *testing.T) {
	for _, response := range socktest.UndelimitedResponses("Id: 1\r\n") {
		for _, o := range earlyOptions(&response) {
			for _, read := range []int64{0, 300 << 10} {
				for _, pause := range []time.Duration{0, 5 * time.Millisecond, 150 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/%t/read %d/%s", response.Name, o.HoldServerErrors || o.EventStream, read, pause), func(t *testing.T) {
						u := serve(t, socktest.RespondEarly(socktest.Early{Response: response.Text, Read: read, Pause: pause, End: socktest.RST}))
						for range 3 {
							out, _ := do(u.dial(), request(upload), o)
							require.Equal(t, retry.Lost, out.End, out.Detail)
							require.Nil(t, out.Held)
							require.False(t, out.Reusable)
						}
					})
				}
			}
		}
	}
}

// Guards against a whole response that counts as lost because the upload to which it
// responds was not read to its end: the upstream ends its side in order, and then reads on
// or resets the connection.
func TestEarlyAnswerToAnUploadIsWhole(t *testing.T) {
	for _, end := range []socktest.End{socktest.Lingering, socktest.LateRST} {
		for _, response := range socktest.UndelimitedResponses("Id: 1\r\n") {
			t.Run(fmt.Sprintf("%s/%s", end, response.Name), func(t *testing.T) {
				answered := make(chan struct{})
				u := serve(t, socktest.RespondEarly(socktest.Early{Response: response.Text, End: end, Until: answered}))
				out, rec := do(u.dial(), request(upload), Options{EventStream: response.Events})
				close(answered)
				require.Equal(t, retry.Answered, out.End, out.Detail)
				require.Equal(t, response.Status, rec.status)
				require.Equal(t, response.Body, rec.body.String())
				require.False(t, out.Reusable)
			})
		}
	}
}

// Guards against a response to an upload that was read to its end and counts as lost, and
// against a reset after such an upload that counts as the end of the response.
func TestAnswerAfterAWholeUpload(t *testing.T) {
	for _, end := range []socktest.End{socktest.FIN, socktest.RST} {
		for _, response := range socktest.UndelimitedResponses("Id: 1\r\n") {
			t.Run(fmt.Sprintf("%s/%s", end, response.Name), func(t *testing.T) {
				u := serve(t, socktest.Respond(response.Text, end))
				out, rec := do(u.dial(), request(upload), Options{EventStream: response.Events})
				if end == socktest.RST {
					require.Equal(t, retry.Lost, out.End)
					return
				}
				require.Equal(t, retry.Answered, out.End, out.Detail)
				require.Equal(t, response.Body, rec.body.String())
			})
		}
	}
}
