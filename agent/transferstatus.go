package agent

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

// statusQuestion asks for the state of the transfer.
type statusQuestion struct {
	answer *ring.Ring[wire.TransferStatus]
}

func (statusQuestion) pullerEvent() {}

// serveTransfer answers with the state of the transfer.
func (a *Agent) serveTransfer(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	answer := ring.New[wire.TransferStatus](1, ring.Refuse)
	if a.puller.Put(ctx, statusQuestion{answer: answer}) != nil {
		http.Error(w, "puller does not answer", http.StatusServiceUnavailable)
		return
	}
	status, err := answer.Take(ctx)
	if err != nil {
		http.Error(w, "puller does not answer", http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, status)
}

// transferStatus returns the counters with the state of the current root.
func (p *puller) transferStatus() wire.TransferStatus {
	s := p.counters
	s.UpBytes = p.agent.up.Bytes()
	s.DownBytes = p.agent.down.Bytes()
	if p.wanted != nil {
		s.Root = p.wanted.Weights.Root
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

// count adds how a request for a chunk ended.
func (p *puller) count(ev chunkRead) {
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

// begun and completed set the times of the current root.
func (p *puller) begun() {
	p.counters.Started = time.Now()
	p.counters.Completed = time.Time{}
}

func (p *puller) completed() { p.counters.Completed = time.Now() }
