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
	// noticeSends is the number of times that a notice is sent, because datagrams
	// may be lost, and noticeInterval the interval in between.
	noticeSends    = 3
	noticeInterval = 60 * time.Millisecond
	// newGatewayWindow is the time after a notice during which the roster is read
	// again, to send the notice to gateways that were unknown. Later ones learn
	// the same from the registration of the engine.
	newGatewayWindow = 4 * time.Second
)

// notice is a message about the engine and the gateways that it is sent to.
type notice struct {
	engine  peering.EngineNotice
	targets []string
}

// runNotifier sends notices to gateways by UDP. The ring drops the oldest queued
// notice in favor of a newer one.
func (l *Loader) runNotifier(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", l.settings.NoticeListen)
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
		for range noticeSends {
			l.send(conn, data, n.targets)
			_ = duty.Sleep(ctx, noticeInterval)
		}
	}
}

func (l *Loader) send(conn net.PacketConn, data []byte, targets []string) {
	for _, t := range targets {
		if address, err := net.ResolveUDPAddr("udp4", t); err == nil {
			// Errors are ignored: the notice is repeated, and the engine's
			// registration is published soon after.
			_, _ = conn.WriteTo(data, address)
		}
	}
}

// notifyGateways sends all gateways the version that the engine serves and the
// previous one. Version 0 means that the engine loads new weights or has none.
func (c *coordinator) notifyGateways(ctx context.Context, version, previous int64) {
	c.lastNotice = peering.EngineNotice{
		Address: c.loader.settings.Engine, StartTime: c.report.StartTime, Model: c.model, Version: version, PreviousVersion: previous,
	}
	c.lastNoticeAt = time.Now()
	clear(c.notified)
	c.sendLastNotice(ctx)
}

// sendLastNotice sends the latest notice to the gateways that it was not sent to
// yet, unless the engine has restarted since. A gateway that started meanwhile
// needs it: it would take the registration of an earlier start for a running
// engine.
func (c *coordinator) sendLastNotice(ctx context.Context) {
	if c.lastNotice.StartTime == 0 || c.lastNotice.StartTime != c.report.StartTime {
		return
	}
	n := notice{engine: c.lastNotice}
	for _, g := range c.roster.Gateways {
		address := c.loader.settings.NoticeAddress(g.Control)
		if address == "" || c.notified[address] {
			continue
		}
		c.notified[address] = true
		n.targets = append(n.targets, address)
	}
	if len(n.targets) > 0 {
		_ = c.loader.notices.Put(ctx, n)
	}
}
