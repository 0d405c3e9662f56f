package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20260101") }

const service fleet.Service = "advisory"

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rootA = fleet.Digest{1}
	rootB = fleet.Digest{2}
)

func document(t require.TestingT, out ...fleet.FailureDomain) *config.Accepted {
	text := `{"generation":1,"profiles":[
		{"name":"p1","model":"m","version":"1","weights":{"root":"` + rootA.String() + `","origin":"http://o/","region":"r0"}},
		{"name":"p2","model":"m","version":"2","weights":{"root":"` + rootB.String() + `","origin":"http://o/","region":"r0"}}],
		"services":[{"name":"advisory","kind":"model","profile":"p2","limits":{"cold":2,"warm":8,"ramp_step":1}}],
		"customers":[],"failure_domains":[`
	for i := range 16 {
		name := fleet.FailureDomain(fmt.Sprintf("d%d", i))
		state := config.DomainIn
		if slices.Contains(out, name) {
			state = config.DomainOut
		}
		text += fmt.Sprintf(`{"name":%q,"region":"r%d","state":%q},`, name, i%6, state)
	}
	a, err := config.Accept([]byte(text[:len(text)-1] + `]}`))
	require.NoError(t, err)
	return a
}

func member(i int) fleet.Instance {
	d := i % 16
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("agent-%d", i)), Role: fleet.RoleAgent, Service: service,
		FailureDomain: fleet.FailureDomain(fmt.Sprintf("d%d", d)), Region: fleet.Region(fmt.Sprintf("r%d", d%6)),
		State: fleet.StateLive, Serving: rootB,
	}
}

func members(n int) []fleet.Instance {
	list := make([]fleet.Instance, n)
	for i := range list {
		list[i] = member(i)
	}
	return list
}

func newTable(t require.TestingT, n int) *Table {
	table := New(fleet.Instance{ID: "entry-0", Region: "r0"})
	table.Update(document(t), members(n))
	return table
}

// naive is a reference model: it applies the rules of a valid choice to all
// members without an index.
type naive struct {
	members  []fleet.Instance
	out      fleet.FailureDomain
	inFlight map[fleet.InstanceID]int
	paused   map[fleet.InstanceID]time.Time
	// failures and avoided model the penalties: 0.5 s, doubled up to 15 s.
	failures map[fleet.InstanceID]int
	avoided  map[fleet.InstanceID]time.Time
}

func (n *naive) acceptable(m fleet.Instance, r Request) bool {
	return m.State == fleet.StateLive && !m.Switching && m.FailureDomain != n.out &&
		(m.Serving.IsZero() || slices.Contains(r.Roots, m.Serving)) && !slices.Contains(r.Tried, m.ID)
}

// valid reports whether a replica may get the call. A replica that is avoided
// may get it only if every acceptable one is avoided.
func (n *naive) valid(now time.Time, m fleet.Instance, r Request) bool {
	if !n.acceptable(m, r) || n.inFlight[m.ID] >= 2 || now.Before(n.paused[m.ID]) {
		return false
	}
	if !now.Before(n.avoided[m.ID]) {
		return true
	}
	return !slices.ContainsFunc(n.members, func(o fleet.Instance) bool {
		return n.acceptable(o, r) && !now.Before(n.avoided[o.ID])
	})
}

// forget removes the state of unusable replicas without calls in flight.
func (n *naive) forget() {
	for _, m := range n.members {
		if n.inFlight[m.ID] == 0 && (m.State != fleet.StateLive || m.Switching || m.FailureDomain == n.out) {
			delete(n.failures, m.ID)
			delete(n.avoided, m.ID)
			delete(n.paused, m.ID)
		}
	}
}

func (n *naive) fail(now time.Time, id fleet.InstanceID) {
	if now.Before(n.avoided[id]) {
		return
	}
	n.avoided[id] = now.Add(min(500*time.Millisecond<<n.failures[id], 15*time.Second))
	n.failures[id]++
}

// Guards against a call to a replica that is leaving, switching, out of service,
// full, paused, already tried or at another version, and against a call that
// waits although a replica could take it.
func TestChoicesAgainstNaiveRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &naive{
			inFlight: map[fleet.InstanceID]int{}, paused: map[fleet.InstanceID]time.Time{},
			failures: map[fleet.InstanceID]int{}, avoided: map[fleet.InstanceID]time.Time{},
		}
		table := New(fleet.Instance{ID: "entry-0", Region: "r0"})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := start
		count := rapid.IntRange(1, SubsetSize).Draw(t, "members")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				n.out = fleet.FailureDomain(fmt.Sprintf("d%d", random.IntN(17)))
				n.members = drawMembers(t, count)
				table.Update(document(t, n.out), n.members)
				n.forget()
			case 1:
				id := member(random.IntN(count)).ID
				table.Refused(now, id)
				if table.byID[id] != nil {
					n.paused[id] = now.Add(refusalPause)
				}
			case 2:
				id := member(random.IntN(count)).ID
				table.Failed(now, id)
				if table.byID[id] != nil {
					n.fail(now, id)
				}
			case 3:
				id := member(random.IntN(count)).ID
				if n.inFlight[id] > 0 {
					n.inFlight[id]--
					table.Done(id)
				}
			default:
				checkPick(t, table, n, now, random)
			}
		}
	})
}

func drawMembers(t *rapid.T, count int) []fleet.Instance {
	list := members(count)
	for i := range list {
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			list[i].State = fleet.StateLeaving
		case 1:
			list[i].Switching = true
		case 2:
			list[i].Serving = rootA
		case 3:
			list[i].Serving = fleet.Digest{9}
		case 4:
			list[i].Serving = fleet.Digest{}
		}
	}
	return list
}

func checkPick(t *rapid.T, table *Table, n *naive, now time.Time, random *rand.Rand) {
	r := Request{Service: service, Roots: []fleet.Digest{rootB, rootA}, Prefix: random.Uint64N(3)}
	if len(n.members) > 0 {
		r.Tried = []fleet.InstanceID{n.members[random.IntN(len(n.members))].ID}
	}
	possible := 0
	for _, m := range n.members {
		if n.valid(now, m, r) {
			possible++
		}
	}
	choice, ok := table.Pick(now, r, random.IntN)
	if !ok {
		require.Zero(t, possible, "a valid replica had capacity but the call was not sent")
		return
	}
	require.True(t, n.valid(now, choice.Instance, r), "%+v is not a valid choice for the call", choice.Instance)
	if !choice.Instance.Serving.IsZero() {
		require.Equal(t, choice.Instance.Serving, choice.Root)
	}
	n.inFlight[choice.Instance.ID]++
}

// Guards against a subset dominated by one failure domain, whose outage would
// take away most of an entry's replicas, and against a subset that changes
// completely when one replica joins or leaves.
func TestSubsetIsSpreadAndStable(t *testing.T) {
	self := fleet.Instance{ID: "entry-0", Region: "r0"}
	list := members(4300)
	before := subset(self, list, SubsetSize)
	require.Len(t, before, SubsetSize)
	perDomain := map[fleet.FailureDomain]int{}
	localCount := 0
	for _, m := range before {
		perDomain[m.FailureDomain]++
		if m.Region == self.Region {
			localCount++
		}
	}
	require.Equal(t, SubsetSize/2, localCount)
	require.Len(t, perDomain, 16, "every failure domain must have replicas in the subset")

	in := func(set []fleet.Instance, id fleet.InstanceID) bool {
		return slices.ContainsFunc(set, func(m fleet.Instance) bool { return m.ID == id })
	}
	for _, removed := range before {
		rest := slices.DeleteFunc(slices.Clone(list), func(m fleet.Instance) bool { return m.ID == removed.ID })
		after := subset(self, rest, SubsetSize)
		replaced := 0
		for _, m := range before {
			if !in(after, m.ID) {
				replaced++
			}
		}
		require.Equal(t, 1, replaced, "only the removed replica may be replaced")
	}
}

// Guards against calls that cross regions while the local region has capacity,
// and against a local region that is overloaded while others are idle.
func TestLocalRegionIsPreferredUnlessLoaded(t *testing.T) {
	table := New(fleet.Instance{ID: "entry-0", Region: "r0"})
	local, remote := member(0), member(1)
	table.Update(document(t), []fleet.Instance{local, remote})
	for _, m := range []fleet.Instance{local, remote} {
		table.Report(start, m.ID, Load{Limit: 8})
	}
	var got []fleet.InstanceID
	for range 10 {
		c, ok := table.Pick(start, Request{Service: service, Roots: []fleet.Digest{rootB}}, rand.New(rand.NewPCG(1, 1)).IntN)
		require.True(t, ok)
		got = append(got, c.Instance.ID)
	}
	for _, id := range got[:6] {
		require.Equal(t, local.ID, id)
	}
	require.Contains(t, got, remote.ID)
}

// Guards against a silent replica that gets all new calls because it is in the own
// region or last got the prefix, and against a replica that stays unused after it went
// on.
func TestSilentReplicaGetsCallsLast(t *testing.T) {
	table := New(fleet.Instance{ID: "entry-0", Region: "r0"})
	local, remote := member(0), member(1)
	table.Update(document(t), []fleet.Instance{local, remote})
	for _, m := range []fleet.Instance{local, remote} {
		table.Report(start, m.ID, Load{Limit: 64})
	}
	random := rand.New(rand.NewPCG(1, 1)).IntN
	pickFor := func(after time.Duration, prefix uint64) fleet.InstanceID {
		c, ok := table.Pick(start.Add(after), Request{Service: service, Roots: []fleet.Digest{rootB}, Prefix: prefix}, random)
		require.True(t, ok)
		return c.Instance.ID
	}
	pick := func(after time.Duration) fleet.InstanceID { return pickFor(after, 7) }
	for i := range silentCalls {
		require.Equal(t, local.ID, pick(time.Duration(i)*time.Millisecond))
	}
	require.Equal(t, local.ID, pick(silentAfter-time.Millisecond), "no silence yet")
	require.Equal(t, remote.ID, pick(silentAfter))
	require.Equal(t, remote.ID, pick(2*silentAfter))
	table.Report(start.Add(2*silentAfter), local.ID, Load{Limit: 64, InFlight: silentCalls})
	require.Equal(t, local.ID, pickFor(2*silentAfter, 0), "the replica went on")

	only := New(fleet.Instance{ID: "entry-0", Region: "r0"})
	only.Update(document(t), []fleet.Instance{local})
	only.Report(start, local.ID, Load{Limit: 64})
	for i := range 2 * silentCalls {
		_, ok := only.Pick(start.Add(time.Duration(i)*silentAfter), Request{Service: service, Roots: []fleet.Digest{rootB}}, random)
		require.True(t, ok, "a silent replica is better than none")
	}
}

// Guards against a popular prompt prefix that overloads the replica which last
// got it.
func TestPrefixReplicaIsPreferredOnlyBelowMaxLoad(t *testing.T) {
	table := newTable(t, 96)
	random := rand.New(rand.NewPCG(1, 1)).IntN
	r := Request{Service: service, Roots: []fleet.Digest{rootB}, Prefix: 7}
	first, ok := table.Pick(start, r, random)
	require.True(t, ok)
	table.Report(start, first.Instance.ID, Load{Limit: 8, InFlight: 1})
	for range 3 {
		c, _ := table.Pick(start, r, random)
		require.Equal(t, first.Instance.ID, c.Instance.ID)
	}
	c, _ := table.Pick(start, r, random)
	require.NotEqual(t, first.Instance.ID, c.Instance.ID)
}

// Guards against a replica that is avoided for too long because many calls in
// flight failed together in a single restart.
func TestOneRestartIsOneFailure(t *testing.T) {
	table := newTable(t, 2)
	for range 30 {
		table.Failed(start, member(0).ID)
	}
	require.True(t, table.byID[member(0).ID].avoided(start))
	require.False(t, table.byID[member(0).ID].avoided(start.Add(firstPenalty)))
}

// Guards against a suspected call that shares a replica with other calls.
func TestExclusiveCallWaitsForAnEmptyReplica(t *testing.T) {
	table := newTable(t, 1)
	random := rand.New(rand.NewPCG(1, 1)).IntN
	normal := Request{Service: service, Roots: []fleet.Digest{rootB}}
	exclusive := normal
	exclusive.Exclusive = true
	c, ok := table.Pick(start, normal, random)
	require.True(t, ok)
	_, ok = table.Pick(start, exclusive, random)
	require.False(t, ok, "a call is in flight")
	_, ok = table.Pick(start, normal, random)
	require.False(t, ok, "the replica is reserved")
	table.Done(c.Instance.ID)
	_, ok = table.Pick(start, exclusive, random)
	require.True(t, ok)
	_, ok = table.Pick(start, normal, random)
	require.False(t, ok)
	table.Done(c.Instance.ID)
	_, ok = table.Pick(start, normal, random)
	require.True(t, ok)
}

// Guards against a short path prefix that takes precedence over a longer one.
func TestResolveTakesTheLongestPrefix(t *testing.T) {
	a, err := config.Accept([]byte(`{"generation":1,"profiles":[],"customers":[],"failure_domains":[],"services":[
		{"name":"all","kind":"plain","path_prefix":"/","limits":{"cold":1,"warm":1,"ramp_step":1}},
		{"name":"ledger","kind":"plain","path_prefix":"/ledger/","limits":{"cold":1,"warm":1,"ramp_step":1}}]}`))
	require.NoError(t, err)
	require.EqualValues(t, "ledger", Resolve(a, "/ledger/entries", "").Service.Name)
	require.EqualValues(t, "all", Resolve(a, "/other", "").Service.Name)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 300, 4300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(b, n)
			random := rand.New(rand.NewPCG(1, 1))
			r := Request{Service: service, Roots: []fleet.Digest{rootB, rootA}}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := table.Pick(start, r, random.IntN)
				if !ok {
					b.Fatal("no replica has capacity")
				}
				table.Done(c.Instance.ID)
			}
		})
	}
}

// BenchmarkPickFull measures the longest search, in which every replica is full.
func BenchmarkPickFull(b *testing.B) {
	for _, n := range []int{12, 300, 4300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(b, n)
			random := rand.New(rand.NewPCG(1, 1))
			r := Request{Service: service, Roots: []fleet.Digest{rootB, rootA}}
			for ok := true; ok; {
				_, ok = table.Pick(start, r, random.IntN)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.Pick(start, r, random.IntN); ok {
					b.Fatal("a replica unexpectedly has capacity")
				}
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{12, 300, 4300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, a, list := newTable(b, n), document(b), members(n)
			b.ReportAllocs()
			for b.Loop() {
				table.Update(a, list)
			}
		})
	}
}
