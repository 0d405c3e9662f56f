package loader

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/peering"
)

const (
	// noticeTimes is how often a notice is sent, since datagrams may be lost, and
	// noticePause the pause in between.
	noticeTimes = 3
	noticePause = 60 * time.Millisecond
	// tellFor is how long gateways that were not known are looked for; after that
	// the engine's entry tells them the same.
	tellFor = 4 * time.Second
)

// notice is the word on the own engine, for some gateways.
type notice struct {
	engine  peering.EngineNotice
	targets []string
}

// runNotifier sends notices to gateways. A newer notice replaces an older one
// that waits.
func (l *Loader) runNotifier(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", l.settings.Notices)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for {
		n, err := l.notices.Take(ctx)
		if err != nil {
			return nil
		}
		data, err := json.Marshal(peering.Message{Engine: &n.engine})
		if err != nil {
			return err
		}
		for range noticeTimes {
			l.send(conn, data, n.targets)
			_ = duty.Sleep(ctx, noticePause)
		}
	}
}

func (l *Loader) send(conn net.PacketConn, data []byte, targets []string) {
	for _, t := range targets {
		if address, err := net.ResolveUDPAddr("udp4", t); err == nil {
			// What is lost is sent again, and published soon after.
			_, _ = conn.WriteTo(data, address)
		}
	}
}

// notify tells the gateways what the own engine serves; version 0 says that it
// takes new weights or has none.
func (k *keeper) notify(ctx context.Context, version, was int64) {
	k.word = peering.EngineNotice{
		Address: k.loader.settings.Engine, StartTime: k.report.StartTime, Model: k.model, Version: version, PreviousVersion: was,
	}
	k.wordAt = time.Now()
	clear(k.told)
	k.tell(ctx)
}

// tell passes the latest word on to the gateways that have not got it. Those
// that started meanwhile take the entry of an earlier start for a running
// engine.
func (k *keeper) tell(ctx context.Context) {
	if k.word.StartTime == 0 || k.word.StartTime != k.report.StartTime {
		return
	}
	n := notice{engine: k.word}
	for _, g := range k.roster.Gateways {
		a := k.loader.settings.NoticeAddress(g.Control)
		if a == "" || k.told[a] {
			continue
		}
		k.told[a] = true
		n.targets = append(n.targets, a)
	}
	if len(n.targets) > 0 {
		_ = k.loader.notices.Put(ctx, n)
	}
}
