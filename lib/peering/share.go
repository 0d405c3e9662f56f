package peering

import (
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

// Share is a process's share of the slots of a service, in proportion to the
// requests that arrive at each process. It is the interval from Low to High;
// the intervals of all processes, in the order of their regions and addresses,
// divide the range from 0 to 1.
type Share struct {
	Low, High float64
	// KnownLow and KnownHigh are the same, but the range is divided among all
	// processes that sent a message within memberTTL, with their last demands. A
	// process that is cut off from the others keeps to its part. Both are 0 for a
	// process that has just started, or that has seeds and heard of no peer.
	KnownLow, KnownHigh float64
	// Contended is true if requests wait or are refused at other processes.
	Contended bool
	// RefusedRank is the most urgent Demand.RefusedRank of the other processes; 0 if there is
	// none.
	RefusedRank int
}

// Shares returns this process's share of each service, given its own demand.
func (t *Table) Shares(now time.Time, own map[fleet.Service]Demand) map[fleet.Service]Share {
	out := map[fleet.Service]Share{}
	settled := t.settled(now)
	// Sums of fractions depend on their order.
	addresses := slices.Sorted(maps.Keys(t.members))
	for name, mine := range own {
		var live, known division
		var s Share
		for _, a := range addresses {
			p := t.members[a]
			d, ok := p.demands[name]
			if !ok || now.Sub(p.lastSeen) > memberTTL {
				continue
			}
			before := t.before(a, p)
			known.add(d.PerSecond, before)
			if now.Sub(p.lastSeen) > loadTTL {
				continue
			}
			live.add(d.PerSecond, before)
			s.Contended = s.Contended || d.Waiting > 0 || d.Refused
			if d.RefusedRank > 0 && (s.RefusedRank == 0 || d.RefusedRank < s.RefusedRank) {
				s.RefusedRank = d.RefusedRank
			}
		}
		if live.all+mine.PerSecond > 0 {
			s.Low, s.High = live.interval(mine.PerSecond)
			if settled {
				s.KnownLow, s.KnownHigh = known.interval(mine.PerSecond)
			}
			out[name] = s
		}
	}
	return out
}

// settled reports whether this process has had the time to hear of its peers, and did
// if there are any. After memberTTL without a message the others count as gone.
func (t *Table) settled(now time.Time) bool {
	age := t.age(now)
	return !t.hasSeeds() || t.Processes() > 1 && age >= settleTime || age >= memberTTL
}

// Sharer is another process that shares budgets.
type Sharer struct {
	Name    string
	Region  fleet.Region
	Demands map[fleet.Service]Demand
}

// Sharing lists the processes that share budgets with this one.
type Sharing struct {
	// Self is the name of this process among the others.
	Self string
	// Peers are those that sent a message within memberTTL and are not leaving, with
	// their last demands, so that a process that is cut off from the others keeps to its
	// part. They are sorted by name.
	Peers []Sharer
	// Settled is false for a process that has just started, is leaving, or has seeds and
	// heard of no peer. It owns nothing.
	Settled bool
}

// Sharing returns the processes that share budgets with this one.
func (t *Table) Sharing(now time.Time) Sharing {
	out := Sharing{Self: t.self, Settled: t.settled(now)}
	for _, a := range slices.Sorted(maps.Keys(t.members)) {
		if p := t.members[a]; !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= memberTTL && !p.leaving {
			out.Peers = append(out.Peers, Sharer{Name: a, Region: p.region, Demands: p.demands})
		}
	}
	return out
}

// division sums up the demands of peers: of all of them, and of those that stand
// before this process in the order.
type division struct{ all, before float64 }

func (d *division) add(perSecond float64, before bool) {
	d.all += perSecond
	if before {
		d.before += perSecond
	}
}

// interval returns the part of the range from 0 to 1 that this process's demand
// covers.
func (d *division) interval(own float64) (low, high float64) {
	all := d.all + own
	return d.before / all, (d.before + own) / all
}
