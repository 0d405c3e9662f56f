package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
)

// Each entry sees only the responses to its own requests. It tells the others what an
// upstream stated to it, but not what they told it, so that no statement goes round.

// percent is the usual speed in the messages of entries.
const percent = 100

// ownSpeed is a slowdown that an upstream stated to this entry itself.
type ownSpeed struct {
	slowdown float64
	statedAt time.Time
}

// observePeerSpeed applies a speed that an upstream stated to another entry.
func (u *upstream) observePeerSpeed(now time.Time, s peering.Speed) {
	if !s.Known() || s.Age() >= maxSpeedTTL {
		return
	}
	if u.speed == nil {
		u.speed = &speed{effect: u.speedEffect}
	}
	u.speed.observe(now.Add(-s.Age()), float64(s.Percent)/percent)
}

// tells reports whether other entries should know what the upstream stated to this one. The
// usual speed is worth telling only while another one may still count elsewhere.
func (s *speed) tells(now time.Time) bool {
	return s != nil && now.Sub(s.own.statedAt) < minSpeedTTL && now.Before(s.unusualUntil)
}

// addSpeeds adds the speeds that upstreams stated to this entry to its loads there.
func (c *Core) addSpeeds(now time.Time, loads map[fleet.InstanceID]peering.Load) {
	var told []*upstream
	for id := range loads {
		if u := c.upstreams[id]; u.speed.tells(now) {
			told = append(told, u)
		}
	}
	if len(told) > peering.MaxSpeeds {
		slices.SortFunc(told, func(a, b *upstream) int {
			return cmp.Or(b.speed.own.statedAt.Compare(a.speed.own.statedAt), cmp.Compare(a.ID, b.ID))
		})
		told = told[:peering.MaxSpeeds]
	}
	for _, u := range told {
		l := loads[u.ID]
		l.Speed = u.speed.own.message(now)
		loads[u.ID] = l
	}
}

// message returns the speed as messages of entries state it.
func (o ownSpeed) message(now time.Time) peering.Speed {
	return peering.Speed{
		Percent: max(int(math.Round(o.slowdown*percent)), 1),
		AgeMS:   peering.CeilMS(now.Sub(o.statedAt)),
	}
}
