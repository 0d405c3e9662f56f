package transfer

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
)

// Placement says which agents of a region draw chunks for it. Every agent
// computes it alone from the members; a member that is seen by some agents
// only makes a chunk travel twice and does no other harm.
type Placement struct {
	// Home is the region that draws from store and origin.
	Home fleet.Region
	// Local holds the agents of the own region in the order of their rank for
	// the root, the own one included.
	Local []Peer
	// HomeDrawers holds the first agents of the home region.
	HomeDrawers []Peer
	// others holds the regions apart from the home region, in order of name.
	others []fleet.Region
	// farDrawers holds the drawers of the regions apart from home and own one.
	farDrawers []Peer
	// rank is the own position in Local.
	rank int
	// drawers is how many of Local draw.
	drawers int
}

// Place ranks the agents that need or hold a root.
func Place(self Peer, peers []Peer, store fleet.Region, root fleet.Digest, drawers int) Placement {
	byRegion := map[fleet.Region][]Peer{self.Region: {self}}
	for _, p := range peers {
		if p.ID != self.ID {
			byRegion[p.Region] = append(byRegion[p.Region], p)
		}
	}
	key := root.String()
	pl := Placement{Home: homeRegion(byRegion, store, key)}
	pl.Local, pl.drawers = drawersFirst(byRegion[self.Region], key, drawers)
	home, n := drawersFirst(byRegion[pl.Home], key, drawers)
	pl.HomeDrawers = home[:n]
	for r, list := range byRegion {
		if r == pl.Home {
			continue
		}
		pl.others = append(pl.others, r)
		if r != self.Region {
			far, n := drawersFirst(list, key, drawers)
			pl.farDrawers = append(pl.farDrawers, far[:n]...)
		}
	}
	slices.Sort(pl.others)
	slices.SortFunc(pl.farDrawers, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i, p := range pl.Local {
		if p.ID == self.ID {
			pl.rank = i
		}
	}
	return pl
}

// drawersFirst ranks the agents of a region and returns how many of the first
// ones draw: the seeders if there are any, and else up to a limit.
func drawersFirst(peers []Peer, key string, limit int) ([]Peer, int) {
	list := ranked(peers, key)
	slices.SortStableFunc(list, func(a, b Peer) int {
		switch {
		case a.Seeder == b.Seeder:
			return 0
		case a.Seeder:
			return -1
		default:
			return 1
		}
	})
	seeders := 0
	for seeders < len(list) && list[seeders].Seeder {
		seeders++
	}
	if seeders > 0 {
		limit = min(limit, seeders)
	}
	return list, min(len(list), limit)
}

// homeRegion is the store's region if it has agents; otherwise the region
// that ranks first, so that one region still draws for all.
func homeRegion(byRegion map[fleet.Region][]Peer, store fleet.Region, key string) fleet.Region {
	if len(byRegion[store]) > 0 {
		return store
	}
	var best fleet.Region
	for r := range byRegion {
		if best == "" || fleet.RendezvousWeight(key, string(r)) > fleet.RendezvousWeight(key, string(best)) {
			best = r
		}
	}
	return best
}

func ranked(peers []Peer, key string) []Peer {
	weights := make(map[fleet.InstanceID]uint64, len(peers))
	for _, p := range peers {
		weights[p.ID] = fleet.RendezvousWeight(key, string(p.ID))
	}
	list := append([]Peer(nil), peers...)
	sort.Slice(list, func(i, j int) bool {
		a, b := weights[list[i].ID], weights[list[j].ID]
		if a != b {
			return a > b
		}
		return list[i].ID < list[j].ID
	})
	return list
}

// Drawer reports whether the agent draws chunks for its region.
func (pl *Placement) Drawer() bool { return pl.rank < pl.drawers }

// Drawers returns the agents that draw for the own region.
func (pl *Placement) Drawers() []Peer { return pl.Local[:pl.drawers] }

// followed returns the peers whose have-sets an agent asks for: the own
// region's by a rank that differs for each agent, so that no peer is asked by
// all; drawers also follow each other and, outside the home region, the
// drawers of all regions.
func (pl *Placement) followed(self Peer, count int) []Peer {
	if count == 0 {
		return nil
	}
	list := ranked(pl.Local, string(self.ID))
	list = without(list, self.ID)
	list = list[:min(len(list), count)]
	if !pl.Drawer() && !pl.seeded() {
		return list
	}
	list = union(list, pl.Drawers(), self.ID)
	if !pl.Drawer() {
		return list
	}
	if self.Region != pl.Home {
		list = union(list, pl.HomeDrawers, self.ID)
		list = union(list, pl.farDrawers, self.ID)
	}
	return list
}

// seeded reports whether the own region has seeders.
func (pl *Placement) seeded() bool { return len(pl.Local) > 0 && pl.Local[0].Seeder }

// parent returns the region from which an own region draws a chunk. For each
// chunk the regions form a binary tree in the order of their rank, with the
// home region above the first, so that the home region's drawers send each
// chunk to one other region and not to all of them.
func (pl *Placement) parent(self fleet.Region, chunk uint64) fleet.Region {
	order := slices.Clone(pl.others)
	slices.SortStableFunc(order, func(a, b fleet.Region) int {
		return cmp.Compare(weight(memberHash(string(b)), chunk), weight(memberHash(string(a)), chunk))
	})
	at := slices.Index(order, self)
	if at <= 0 {
		return pl.Home
	}
	return order[(at-1)/2]
}

func without(list []Peer, id fleet.InstanceID) []Peer {
	var out []Peer
	for _, p := range list {
		if p.ID != id {
			out = append(out, p)
		}
	}
	return out
}

func union(list, more []Peer, self fleet.InstanceID) []Peer {
	seen := map[fleet.InstanceID]bool{self: true}
	for _, p := range list {
		seen[p.ID] = true
	}
	for _, p := range more {
		if !seen[p.ID] {
			seen[p.ID] = true
			list = append(list, p)
		}
	}
	return list
}

// ManifestSources returns where to ask for the manifest, best first. Drawers
// of the home region read it from the store; all others from drawers and then
// from any peer. An agent that waited long asks store and origin as well; the
// rank spreads these agents, so that the origin sends few manifests.
func (pl *Placement) ManifestSources(self Peer, hasStore bool, waited, takeover time.Duration) []Source {
	var list []Source
	store := []Source{{Kind: FromOrigin}}
	if hasStore {
		store = []Source{{Kind: FromStore}, {Kind: FromOrigin}}
	}
	first := self.Region == pl.Home && pl.Drawer()
	if first {
		list = append(list, store...)
	}
	near := ranked(pl.Drawers(), string(self.ID))
	if pl.Drawer() {
		near = append(ranked(pl.HomeDrawers, string(self.ID)), near...)
	}
	for _, p := range union(nil, append(near, pl.followed(self, manifestPeers)...), self.ID) {
		list = append(list, Source{Peer: p.ID})
	}
	turns := 1 + pl.rank/max(pl.drawers, 1)
	if !first && waited >= takeover*time.Duration(turns) {
		list = append(list, store...)
	}
	return list
}

// manifestPeers is the number of peers that are asked after the drawers.
const manifestPeers = 4

// Retained returns the set of chunks that an agent keeps after loading: those
// for which it is among the first copies of its region.
func Retained(self fleet.InstanceID, local []Peer, root fleet.Digest, chunks, copies int) Set {
	kept := NewSet(chunks)
	region := newRanking(local)
	for i := range chunks {
		for _, p := range region.top(chunkHash(root, i), copies) {
			if p.ID == self {
				kept.Add(i)
			}
		}
	}
	return kept
}
