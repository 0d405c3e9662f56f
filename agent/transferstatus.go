package agent

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

// transferStatusQuery requests the state of the transfer.
type transferStatusQuery struct {
	reply *ring.Ring[wire.TransferStatus]
}

func (transferStatusQuery) pullerEvent() {}

// serveTransfer responds with the state of the transfer.
func (a *Agent) serveTransfer(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	reply := ring.New[wire.TransferStatus](1, ring.Refuse)
	if a.pullerEvents.Put(ctx, transferStatusQuery{reply: reply}) != nil {
		http.Error(w, "puller does not answer", http.StatusServiceUnavailable)
		return
	}
	status, err := reply.Take(ctx)
	if err != nil {
		http.Error(w, "puller does not answer", http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, status)
}

// transferStatus returns the counters and the state of the current root.
func (p *puller) transferStatus() wire.TransferStatus {
	s := p.counters
	s.UpBytes = p.agent.uploadLink.Bytes()
	s.DownBytes = p.agent.downloadLink.Bytes()
	if p.target != nil {
		s.Root = p.target.Weights.Root
	}
	if p.held != nil {
		s.Chunks = len(p.held.chunks)
		s.Missing = s.Chunks - len(p.held.added)
		s.HeldBytes = p.held.bytes
	}
	if p.previous != nil {
		s.HeldBytes += p.previous.bytes
	}
	return s
}

// countFetch counts the outcome of a request for a chunk.
func (p *puller) countFetch(ev chunkRead) {
	switch ev.ended.Outcome {
	case transfer.Verified:
		if ev.remote {
			p.counters.RegionBytes += int64(len(ev.data))
		}
	case transfer.Corrupt:
		p.counters.CorruptChunks++
	case transfer.Busy:
		p.counters.BusyAnswers++
	case transfer.Failed, transfer.Absent, transfer.Changed:
		p.counters.FailedRequests++
	}
}

// markStarted and markCompleted set the times of the current transfer.
func (p *puller) markStarted() {
	p.counters.Started = time.Now()
	p.counters.Completed = time.Time{}
}

func (p *puller) markCompleted() { p.counters.Completed = time.Now() }
