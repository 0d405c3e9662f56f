package scenario

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/wire"
)

const (
	// burstModelBytes, burstChunkBytes and burstLink are the sizes of the model
	// and its chunks and the rate of a machine's link, on which a copy takes
	// 16 s. At twice the rate, 100 processes on ten cores that are shared with
	// other work are limited by the processors and not by the links.
	burstModelBytes = 8 << 20
	burstChunkBytes = 64 << 10
	burstLink       = pacing.BytesPerSecond(1 << 19)
	// naiveModelBytes is the size of the model in the naive run. It is smaller,
	// because every instance downloads all of it from the origin. Times are
	// comparable because they are measured in link copies.
	naiveModelBytes = 256 << 10
	// originLinks is the rate of the origin's link as a multiple of burstLink.
	originLinks = 2
	// regionLinks is the rate between two regions as a multiple of burstLink.
	regionLinks = 3
	// burstTimeout bounds one burst.
	burstTimeout = 2 * time.Minute
)

// burstResult is the cost of one burst.
type burstResult struct {
	// completeLinkCopies, startLinkCopies and halfLinkCopies are the times from
	// the publication until all agents were complete, the last agent started its
	// transfer, and half of the agents were complete. The unit is the time that
	// one copy of the model takes on a machine's link.
	completeLinkCopies float64
	startLinkCopies    float64
	halfLinkCopies     float64
	// originCopies is the number of copies of the model that the origin sent.
	originCopies float64
	// upMax and downMax are the greatest numbers of copies that one agent sent
	// and received, regionMax those that one region received from others.
	upMax     float64
	downMax   float64
	regionMax float64
	// rateMax is the greatest rate of an agent's link as a multiple of burstLink.
	rateMax float64
	// upSum and downSum are the copies that all agents sent and received.
	upSum   float64
	downSum float64
	// loadTime is the time from the publication until all engines had loaded
	// the weights.
	loadTime time.Duration
	// transfers holds the agents' total busy answers, corrupt chunks and failed
	// requests. Its other fields are not set.
	transfers wire.TransferStatus
	// agentCores, busyCores and idleCores are the mean numbers of cores that the
	// agents used and that were busy and idle on the machine. Without idle cores,
	// the measured time depends on the processors and not on the links.
	agentCores float64
	busyCores  float64
	idleCores  float64
}

// burst measures the distribution of new weights to all agents at the same time,
// for each size, and compares the last size with agents that all download from
// the origin.
func burst(ctx context.Context, env Env) error {
	var first, last burstResult
	var size int
	for i, n := range env.Sizes {
		r, err := runBurst(ctx, env, n, burstModelBytes, "")
		if err != nil {
			return err
		}
		reportBurst(env.Report, n, r)
		if i == 0 {
			first = r
		}
		last, size = r, n
	}
	if len(env.Sizes) > 1 {
		env.Report.Add("burst.growth", last.completeLinkCopies/first.completeLinkCopies, "ratio", figure.AtMost(1.2))
	}
	naive, err := runBurst(ctx, env, size, naiveModelBytes, "chunk_peers = 0\n")
	if err != nil {
		return err
	}
	env.Report.Add(fmt.Sprintf("burst.naive_time_in_link_copies.%d", size), naive.completeLinkCopies, "ratio", figure.NoBound)
	env.Report.Add("burst.speedup_vs_naive", naive.completeLinkCopies/last.completeLinkCopies, "ratio", figure.AtLeast(10))
	return nil
}

func reportBurst(r *figure.Report, n int, b burstResult) {
	add := func(name string, value float64, bound figure.Bound) {
		r.Add(fmt.Sprintf("burst.%s.%d", name, n), value, "ratio", bound)
	}
	add("time_in_link_copies", b.completeLinkCopies, figure.AtMost(2))
	add("origin_copies", b.originCopies, figure.AtMost(4))
	add("link_copies_max_up", b.upMax, figure.AtMost(2))
	add("link_copies_max_down", b.downMax, figure.AtMost(2))
	add("region_copies_max", b.regionMax, figure.AtMost(1.2))
	// These figures check the pacing: no link may exceed its rate, and the bytes
	// that all receivers counted must equal those that all senders counted.
	add("link_rate_max", b.rateMax, figure.AtMost(1.05))
	add("bytes_received_to_sent", b.downSum/(b.upSum+b.originCopies), figure.NoBound)
	r.Note("N=%d: last transfer began %.3f and half were complete %.3f copies after publication; all engines loaded after %s; busy %d, corrupt %d, failed %d",
		n, b.startLinkCopies, b.halfLinkCopies, b.loadTime.Round(time.Millisecond), b.transfers.BusyAnswers, b.transfers.CorruptChunks, b.transfers.FailedRequests)
	r.Note("N=%d: agents used %.1f cores; the machine had %.1f cores busy and %.1f idle", n, b.agentCores, b.busyCores, b.idleCores)
}

// runBurst publishes one profile to n agents that have no weights. extra is
// appended to the settings files of the agents.
func runBurst(ctx context.Context, env Env, n, modelBytes int, extra string) (burstResult, error) {
	var result burstResult
	ctx, cancel := context.WithTimeout(ctx, burstTimeout)
	defer cancel()
	l, err := lab.Start(lab.Options{
		Binary:     env.Binary,
		Agents:     n,
		Regions:    regions,
		ModelBytes: modelBytes,
		ChunkBytes: burstChunkBytes,
		Link:       burstLink,
		OriginLink: originLinks * burstLink,
		Limits:     config.Limits{Cold: 4, Warm: 32, RampStep: 4},
		ExtraAgent: fmt.Sprintf("region_link_bytes_per_second = %d\n%s", regionLinks*burstLink, extra),
	})
	if err != nil {
		return result, err
	}
	defer l.Close()
	store, weights, err := l.AddStore(uint64(n))
	if err != nil {
		return result, err
	}
	// The processes adopt an earlier configuration first, so that their start is
	// not included in the transfer time.
	if err := startIdle(ctx, l); err != nil {
		return result, err
	}
	if err := result.addCores(l, -1); err != nil {
		return result, err
	}
	published := time.Now()
	if err := l.PublishProfile("burst-1", "v1", weights); err != nil {
		return result, err
	}
	if err := l.AwaitLoaded(ctx, weights.Root.String(), n); err != nil {
		return result, err
	}
	result.loadTime = time.Since(published)
	if err := result.addCores(l, 1); err != nil {
		return result, err
	}
	result.agentCores /= result.loadTime.Seconds()
	result.busyCores /= result.loadTime.Seconds()
	result.idleCores /= result.loadTime.Seconds()
	copyTime := time.Duration(float64(modelBytes) / float64(burstLink) * float64(time.Second))
	err = result.collect(ctx, l, published, copyTime, float64(modelBytes))
	result.originCopies = float64(store.Bytes()) / float64(modelBytes)
	return result, err
}

// addCores adds the processor seconds spent so far, multiplied by sign. Called
// with -1 before and 1 after a burst, it leaves the seconds of the burst.
func (b *burstResult) addCores(l *lab.Lab, sign float64) error {
	for _, p := range l.Agents {
		t, err := processorTime(p.PID())
		if err != nil {
			return err
		}
		b.agentCores += sign * t.Seconds()
	}
	busy, idle, err := machineTime()
	b.busyCores += sign * busy.Seconds()
	b.idleCores += sign * idle.Seconds()
	return err
}

// collect reads the transfer status of every agent and computes the result.
// copyTime is the time of one copy of the model on a machine's link, size the
// model's size in bytes.
func (b *burstResult) collect(ctx context.Context, l *lab.Lab, published time.Time, copyTime time.Duration, size float64) error {
	peers := &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}
	regions := map[fleet.Region]float64{}
	var times []float64
	for _, p := range l.Agents {
		var s wire.TransferStatus
		if err := peers.GetJSON(ctx, p.Address, wire.PathTransfer, &s); err != nil {
			return err
		}
		b.completeLinkCopies = max(b.completeLinkCopies, float64(s.Completed.Sub(published))/float64(copyTime))
		times = append(times, float64(s.Completed.Sub(published))/float64(copyTime))
		b.startLinkCopies = max(b.startLinkCopies, float64(s.Started.Sub(published))/float64(copyTime))
		b.upMax = max(b.upMax, float64(s.UpBytes)/size)
		b.downMax = max(b.downMax, float64(s.DownBytes)/size)
		took := s.Completed.Sub(s.Started).Seconds()
		b.rateMax = max(b.rateMax, float64(max(s.UpBytes, s.DownBytes))/took/float64(burstLink))
		b.upSum += float64(s.UpBytes) / size
		b.downSum += float64(s.DownBytes) / size
		regions[p.Region] += float64(s.RegionBytes) / size
		b.transfers.BusyAnswers += s.BusyAnswers
		b.transfers.CorruptChunks += s.CorruptChunks
		b.transfers.FailedRequests += s.FailedRequests
	}
	slices.Sort(times)
	b.halfLinkCopies = times[len(times)/2]
	for _, copies := range regions {
		b.regionMax = max(b.regionMax, copies)
	}
	return nil
}
