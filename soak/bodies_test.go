package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/duty"
	"rattanspur.example/standin"
	"rattanspur.example/standin/program"
)

// Limits of the gateway in a test with many uploads. The published limit of a body is
// 1 MiB. Together, the uploads have twice the memory and more connections than the
// process may have descriptors. Heads take less, so that in a test of these all connections
// may be open.
const (
	uploadMemoryMB    = 128
	uploadFiles       = 512
	headFiles         = 2048
	uploadClients     = 600
	uploadBytes       = 512 << 10
	uploadLimit       = 1 << 20
	uploadHeadBytes   = 16000
	uploadSettleTime  = 10 * time.Second
	uploadStartTime   = 30 * time.Second
	uploadRequestTime = 30 * time.Second
)

// startUploadGateway starts a gateway with the limits above and a replica, and waits
// until requests are served.
func startUploadGateway(t *testing.T, binary string, files int) (*environment, *process) {
	t.Helper()
	env := &environment{
		options: Options{Logs: t.TempDir(), Gateway: binary, Out: io.Discard}, dir: t.TempDir(),
		group: duty.NewGroup(context.Background()), index: 2 * environmentCount.Add(1),
	}
	t.Cleanup(env.close)
	env.ledger, env.store = newLedger(env.group), newStore(env.group)
	var err error
	env.origin, err = env.listenBehindLink("origin", originHandler())
	require.NoError(t, err)
	env.config = newConfiguration(env)
	env.config.bodyBytes = uploadLimit
	env.config.publish(env.config.keys...)
	_, err = newReplica(env, "desk", plainService, zones[0])
	require.NoError(t, err)
	m, err := env.newMachine("edge", zones[0])
	require.NoError(t, err)
	require.NoError(t, m.writeSettings([]string{m.control()}))
	setLimits(t, m.settingsPath(), map[string]any{"memory_mb": uploadMemoryMB, "max_fds": files, "link_mbps": linkMbps})
	p := &process{machine: m, role: "gateway", program: binary}
	env.gateways = []*process{p}
	require.NoError(t, p.launch(env))
	require.Eventually(t, func() bool {
		status, err := postLookup(m, "text")
		return err == nil && status == http.StatusOK
	}, uploadStartTime, 50*time.Millisecond)
	return env, p
}

// setLimits replaces the limits in a settings file.
func setLimits(t *testing.T, file string, limits map[string]any) {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var s map[string]any
	require.NoError(t, json.Unmarshal(data, &s))
	s["limits"] = limits
	data, err = json.Marshal(s)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, data, 0o600))
}

// uploadKey is a key of the first configuration.
var uploadKey = customerKey(customers[0], "key-0")

// uploadHead is the head of a request to the plain service, without what frames its
// body.
var uploadHead = "POST /lookup/1 HTTP/1.1\r\nHost: " + hostName + "\r\nAuthorization: Bearer " + uploadKey + "\r\n" +
	headerAttempt + ": upload\r\n" + headerDeadline + ": 20000\r\n"

// ordinaryCount counts the ids of ordinary requests.
var ordinaryCount atomic.Int64

// answeredAttempt returns the id of an attempt that a replica answers. Replicas break the
// answers of some others.
func answeredAttempt() string {
	for {
		id := fmt.Sprint("ordinary-", ordinaryCount.Add(1))
		switch plainFault(seededRandom(0, id, 0)) {
		case serverError, noAnswer, cutAnswer, twoAnswers, wrongStatus:
		default:
			return id
		}
	}
}

// postLookup sends one request on a connection of its own and returns the status.
func postLookup(m *machine, body string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), uploadRequestTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(frontPort)+"/lookup/1", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+uploadKey)
	req.Header.Set(headerAttempt, answeredAttempt())
	req.Header.Set(headerDeadline, "20000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// logOrdinary logs what the gateway has logged about ordinary requests, if the test fails.
func logOrdinary(t *testing.T, env *environment, p *process) {
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		data, err := os.ReadFile(filepath.Join(env.options.Logs, p.role+"-"+p.machine.name+".log"))
		require.NoError(t, err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "ordinary-") {
				t.Log(line)
			}
		}
	})
}

// Guards against a gateway whose memory or descriptors the bodies of its clients use up:
// each is of permitted size, but not complete, or larger than the limit, and read on. The
// process must live, stay within the limits of its settings and serve others.
func TestGatewayStaysWithinItsLimitsUnderUploads(t *testing.T) {
	binary := build(t, program.Product)
	for name, upload := range standin.UploadCases(uploadHead, uploadBytes, uploadLimit) {
		t.Run(name, func(t *testing.T) { requireLimitsKept(t, binary, uploadFiles, upload) })
	}
}

// Guards against a gateway whose memory the heads of its clients' requests use up: each is of
// permitted size, of many short fields, and not complete.
func TestGatewayStaysWithinItsLimitsUnderHeads(t *testing.T) {
	binary := build(t, program.Product)
	requireLimitsKept(t, binary, headFiles, standin.IncompleteHead(uploadHead, uploadHeadBytes))
}

func requireLimitsKept(t *testing.T, binary string, files int, upload standin.Upload) {
	t.Helper()
	env, p := startUploadGateway(t, binary, files)
	uploads := standin.StartUploads(p.machine.address(frontPort), uploadClients, upload)
	defer uploads.Close()
	uploads.Await(uploadSettleTime)
	status, err := postLookup(p.machine, "text")
	usage, usageErr := standin.PeakUsage(p.cmd.Process.Pid)
	logOrdinary(t, env, p)
	t.Logf("peak %d MB, %d descriptors", usage.PeakBytes>>20, usage.Files)
	require.NoError(t, usageErr)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.LessOrEqual(t, usage.PeakBytes, int64(uploadMemoryMB<<20))
	require.LessOrEqual(t, usage.Files, files)
	require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)))
	require.Empty(t, env.ledger.take().violations)
}

// Guards against a limit on the memory of bodies that a single request of permitted size
// exceeds.
func TestGatewayServesASingleRequestOfTheLargestSize(t *testing.T) {
	_, p := startUploadGateway(t, build(t, program.Product), uploadFiles)
	status, err := postLookup(p.machine, strings.Repeat("a", uploadLimit))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
