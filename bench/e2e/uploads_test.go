package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

// Limits of the processes in a test with many uploads. Together, the uploads have more
// than twice the memory. Those to the entry are more than its connections.
const (
	// nodeMemoryBytes is the memory that a process of a node may use.
	nodeMemoryBytes   = 256 << 20
	entryConnections  = 512
	entryCalls        = 256
	entryClients      = 600
	entryBodyBytes    = 1 << 20
	entryHeadBytes    = 30000
	agentClients      = 40
	agentCalls        = 256
	agentBodyBytes    = 16 << 20
	otherFiles        = 64
	uploadSettleTime  = 10 * time.Second
	uploadRequestTime = 30 * time.Second
)

// uploadLab starts an entry and an agent that serve chat completions.
func uploadLab(t *testing.T) (*lab.Lab, config.Weights) {
	t.Helper()
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	o.ExtraEntry = fmt.Sprintf("connections = %d\nbody_bytes = %d\n", entryConnections, entryBodyBytes)
	o.ExtraAgent = fmt.Sprintf("calls = %d\n", agentCalls)
	ctx, l, w := engineLab(t, o)
	require.NoError(t, lab.Await(ctx, func() error {
		a, err := l.Chat(ctx, 0, "text")
		if err == nil && a.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		return err
	}))
	return l, w
}

// checkUploads starts uploads to a process, sends an ordinary request through the entry
// and checks what the process uses.
func checkUploads(t *testing.T, l *lab.Lab, p *lab.Process, clients, files int, u standin.Upload) {
	t.Helper()
	uploads := standin.StartUploads(p.Address, clients, u)
	defer uploads.Close()
	uploads.Await(uploadSettleTime)
	ctx, cancel := context.WithTimeout(context.Background(), uploadRequestTime)
	defer cancel()
	lab.HTTP.CloseIdleConnections()
	a, err := l.Chat(ctx, 0, "ordinary")
	usage, usageErr := standin.PeakUsage(p.PID())
	t.Logf("peak %d MB, %d descriptors", usage.PeakBytes>>20, usage.Files)
	require.NoError(t, usageErr)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	require.LessOrEqual(t, usage.PeakBytes, int64(nodeMemoryBytes))
	require.LessOrEqual(t, usage.Files, files)
	require.NoError(t, l.Signal(p, syscall.Signal(0)))
}

// Guards against an entry whose memory or descriptors the bodies of its clients use up:
// each is of permitted size, but not complete, or larger than the limit, and read on.
func TestEntryStaysWithinItsLimitsUnderUploads(t *testing.T) {
	const head = "POST " + lab.ChatPath + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + lab.CustomerKey + "\r\n"
	for name, upload := range standin.UploadCases(head, entryBodyBytes, entryBodyBytes) {
		t.Run(name, func(t *testing.T) {
			l, _ := uploadLab(t)
			checkUploads(t, l, l.Entries[0], entryClients, entryConnections+entryCalls+otherFiles, upload)
		})
	}
}

// Guards against an entry whose memory the heads of its clients' requests use up: each is of
// permitted size, of many short fields, and not complete.
func TestEntryStaysWithinItsLimitsUnderHeads(t *testing.T) {
	const head = "POST " + lab.ChatPath + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + lab.CustomerKey + "\r\n"
	l, _ := uploadLab(t)
	checkUploads(t, l, l.Entries[0], entryClients, entryConnections+entryCalls+otherFiles, standin.IncompleteHead(head, entryHeadBytes))
}

// Guards against an agent whose memory or descriptors the bodies of calls use up.
func TestAgentStaysWithinItsLimitsUnderUploads(t *testing.T) {
	for name := range standin.UploadCases("", agentBodyBytes, agentBodyBytes) {
		t.Run(name, func(t *testing.T) {
			l, w := uploadLab(t)
			upload := standin.UploadCases(callHead(t, w), agentBodyBytes, agentBodyBytes)[name]
			checkUploads(t, l, l.Agents[0], agentClients, agentClients+agentCalls+otherFiles, upload)
		})
	}
}

// callHead returns the head of a call from an entry to an agent, without what frames
// its body.
func callHead(t *testing.T, w config.Weights) string {
	t.Helper()
	h := http.Header{}
	require.NoError(t, wire.SetCall(h, &wire.Call{
		Request: "upload", Service: lab.Service, Root: w.Root, Timeout: uploadRequestTime, Entry: fleet.InstanceID("entry-0"),
	}))
	wire.Keys{lab.PeerKey}.Authorize(h)
	var text strings.Builder
	require.NoError(t, h.Write(&text))
	return "POST " + wire.CallPath + lab.ChatPath + " HTTP/1.1\r\nHost: h\r\n" + text.String()
}

// Guards against a limit on the memory of bodies that a single request of permitted size
// exceeds.
func TestASingleRequestOfTheLargestSizeIsServed(t *testing.T) {
	l, _ := uploadLab(t)
	ctx, cancel := context.WithTimeout(context.Background(), uploadRequestTime)
	defer cancel()
	frame := len(lab.ChatBody(""))
	a, err := l.Post(ctx, 0, lab.ChatPath, lab.ChatBody(strings.Repeat("a", entryBodyBytes-frame)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, a.Body)
}
