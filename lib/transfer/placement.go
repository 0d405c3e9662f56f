package transfer

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
)

// Placement says which agents fetch chunks for which region. Every agent
// computes it from its own member list. If the lists differ, a chunk may be
// transferred twice; it does no other harm.
type Placement struct {
	// OriginRegion is the region that fetches from the store and the origin.
	OriginRegion fleet.Region
	// Local holds the agents of the own region, including the agent itself, with
	// the fetchers first, ranked for the root.
	Local []Peer
	// OriginFetchers holds the fetchers of the origin region.
	OriginFetchers []Peer
	// otherRegions holds all regions but the origin region, ordered by name.
	otherRegions []fleet.Region
	// otherFetchers holds the fetchers of all regions but the origin region and
	// the own one.
	otherFetchers []Peer
	// rank is the position of the agent itself in Local.
	rank int
	// fetchers is the number of agents at the front of Local that are fetchers.
	fetchers int
}

// NewPlacement ranks the agents that need or hold a root. storeRegion is the
// region of the store, and fetchers the largest number of fetchers per region.
func NewPlacement(self Peer, peers []Peer, storeRegion fleet.Region, root fleet.Digest, fetchers int) Placement {
	byRegion := map[fleet.Region][]Peer{self.Region: {self}}
	for _, p := range peers {
		if p.ID != self.ID {
			byRegion[p.Region] = append(byRegion[p.Region], p)
		}
	}
	key := root.String()
	pl := Placement{OriginRegion: originRegion(byRegion, storeRegion, key)}
	pl.Local, pl.fetchers = fetchersFirst(byRegion[self.Region], key, fetchers)
	originPeers, n := fetchersFirst(byRegion[pl.OriginRegion], key, fetchers)
	pl.OriginFetchers = originPeers[:n]
	for r, list := range byRegion {
		if r == pl.OriginRegion {
			continue
		}
		pl.otherRegions = append(pl.otherRegions, r)
		if r != self.Region {
			regionPeers, n := fetchersFirst(list, key, fetchers)
			pl.otherFetchers = append(pl.otherFetchers, regionPeers[:n]...)
		}
	}
	slices.Sort(pl.otherRegions)
	slices.SortFunc(pl.otherFetchers, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i, p := range pl.Local {
		if p.ID == self.ID {
			pl.rank = i
		}
	}
	return pl
}

// fetchersFirst ranks the agents of a region and returns how many at the front
// are fetchers: up to limit of the seeders, or of all agents if there is no
// seeder.
func fetchersFirst(peers []Peer, key string, limit int) ([]Peer, int) {
	list := rankPeers(peers, key)
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

// originRegion returns the store's region if it has agents, and otherwise the
// region that ranks first, so that one region still fetches for all.
func originRegion(byRegion map[fleet.Region][]Peer, storeRegion fleet.Region, key string) fleet.Region {
	if len(byRegion[storeRegion]) > 0 {
		return storeRegion
	}
	var best fleet.Region
	for r := range byRegion {
		if best == "" || fleet.RendezvousWeight(key, string(r)) > fleet.RendezvousWeight(key, string(best)) {
			best = r
		}
	}
	return best
}

func rankPeers(peers []Peer, key string) []Peer {
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

// IsFetcher reports whether the agent fetches chunks for its region.
func (pl *Placement) IsFetcher() bool { return pl.rank < pl.fetchers }

// Fetchers returns the agents that fetch for the own region.
func (pl *Placement) Fetchers() []Peer { return pl.Local[:pl.fetchers] }

// followed returns the peers whose have-sets an agent queries. Peers of the own
// region are chosen by a rank that differs for each agent, so that no peer is
// queried by all. Fetchers also follow each other and, outside the origin
// region, the fetchers of all regions.
func (pl *Placement) followed(self Peer, count int) []Peer {
	if count == 0 {
		return nil
	}
	list := rankPeers(pl.Local, string(self.ID))
	list = without(list, self.ID)
	list = list[:min(len(list), count)]
	if !pl.IsFetcher() && !pl.hasSeeders() {
		return list
	}
	list = union(list, pl.Fetchers(), self.ID)
	if !pl.IsFetcher() {
		return list
	}
	if self.Region != pl.OriginRegion {
		list = union(list, pl.OriginFetchers, self.ID)
		list = union(list, pl.otherFetchers, self.ID)
	}
	return list
}

// hasSeeders reports whether the own region has seeders.
func (pl *Placement) hasSeeders() bool { return len(pl.Local) > 0 && pl.Local[0].Seeder }

// parent returns the region from which the region self fetches a chunk. For each
// chunk the regions form a binary tree in the order of their rank, with the
// origin region above the first, so that the fetchers of the origin region send
// each chunk to one other region and not to all of them.
func (pl *Placement) parent(self fleet.Region, chunk uint64) fleet.Region {
	order := slices.Clone(pl.otherRegions)
	slices.SortStableFunc(order, func(a, b fleet.Region) int {
		return cmp.Compare(weight(memberHash(string(b)), chunk), weight(memberHash(string(a)), chunk))
	})
	position := slices.Index(order, self)
	if position <= 0 {
		return pl.OriginRegion
	}
	return order[(position-1)/2]
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

// ManifestSources returns the sources to query for the manifest, best first.
// Fetchers of the origin region read it from the store, all others from
// fetchers and then from any peer. An agent that waited long queries the store
// and origin as well. The rank spreads these agents over time, so that the
// origin sends few manifests.
func (pl *Placement) ManifestSources(self Peer, hasStore bool, waited, takeoverDelay time.Duration) []Source {
	var list []Source
	store := []Source{{Kind: FromOrigin}}
	if hasStore {
		store = []Source{{Kind: FromStore}, {Kind: FromOrigin}}
	}
	storeFirst := self.Region == pl.OriginRegion && pl.IsFetcher()
	if storeFirst {
		list = append(list, store...)
	}
	peers := rankPeers(pl.Fetchers(), string(self.ID))
	if pl.IsFetcher() {
		peers = append(rankPeers(pl.OriginFetchers, string(self.ID)), peers...)
	}
	for _, p := range union(nil, append(peers, pl.followed(self, manifestPeers)...), self.ID) {
		list = append(list, Source{Peer: p.ID})
	}
	delays := 1 + pl.rank/max(pl.fetchers, 1)
	if !storeFirst && waited >= takeoverDelay*time.Duration(delays) {
		list = append(list, store...)
	}
	return list
}

// manifestPeers is the number of peers that are queried after the fetchers.
const manifestPeers = 4

// Retained returns the set of chunks that an agent keeps after loading. Each
// chunk is kept by the agents of the region that rank first for it; copies is
// their number.
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
