package config

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/fleet"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// sample returns a document with two profiles and with owners that are
// guaranteed until 13:00.
func sample() Document {
	profile := func(name string, root byte) Profile {
		return Profile{
			Name: fleet.ProfileName(name), Model: "m", Version: fleet.Version("v-" + name),
			Weights: Weights{Root: fleet.Digest{root}, Origin: "http://127.0.0.1:1", Region: "r"},
		}
	}
	limits := Limits{Cold: 1, Warm: 4, RampStep: 2}
	return Document{
		Generation: 1,
		Profiles:   []Profile{profile("a", 1), profile("b", 2)},
		Services: []Service{
			{Name: "advisory", Kind: KindModel, Profile: "a", Limits: limits, LoadsAlongside: true},
			{Name: "ledger", Kind: KindPlain, PathPrefix: "/ledger", Limits: limits, Owners: Owners{
				Epochs: []OwnerEpoch{{Start: noon, Instances: []fleet.InstanceID{"x"}}}, Until: noon.Add(time.Hour),
			}},
		},
		FailureDomains: []FailureDomain{{Name: "d", Region: "r", State: DomainIn}},
		Customers:      []Customer{{Name: "counter", KeySHA256: "00"}},
	}
}

func accept(t require.TestingT, d Document) *Accepted {
	data, err := json.Marshal(d)
	require.NoError(t, err)
	a, err := Accept(data)
	require.NoError(t, err)
	return a
}

// Guards against a switch, a retirement or a move that is missing from the
// operator page.
func TestDiffDescribesEffectsOnTheFleet(t *testing.T) {
	from, next := accept(t, sample()), sample()
	next.Generation = 2
	next.Services[0].Profile = "b"
	next.Profiles[0].Retired = true
	next.FailureDomains[0].State = DomainOut
	next.Services[0].Limits.Warm = 9
	kinds := map[ChangeKind]string{}
	for _, c := range Diff(from, accept(t, next)) {
		require.False(t, c.Violation, c.Meaning)
		kinds[c.Kind] = c.Meaning
	}
	require.Len(t, kinds, 4)
	require.Contains(t, kinds[ProfileChosen], "every upstream of advisory loads version v-b")
	require.Contains(t, kinds, ProfileRetired)
	require.Contains(t, kinds, DomainTakenOut)
	require.Contains(t, kinds, LimitsChanged)
	require.Empty(t, Diff(from, from)[1:])
	require.Equal(t, GenerationNotGreater, Diff(from, from)[0].Kind)
}

// Guards against publishing a change of owners that lets a request run twice.
func TestDiffReportsBrokenOwnerGuarantee(t *testing.T) {
	epochAt := func(at time.Time) OwnerEpoch { return OwnerEpoch{Start: at, Instances: []fleet.InstanceID{"y"}} }
	for name, c := range map[string]struct {
		change    func(*Owners)
		violation bool
	}{
		"epoch before until":   {func(o *Owners) { o.Epochs = append(o.Epochs, epochAt(noon.Add(time.Minute))) }, true},
		"epoch after until":    {func(o *Owners) { o.Epochs = append(o.Epochs, epochAt(noon.Add(2*time.Hour))) }, false},
		"other owners":         {func(o *Owners) { o.Epochs[0].Instances = []fleet.InstanceID{"y"} }, true},
		"guarantee shortened":  {func(o *Owners) { o.Until = noon.Add(time.Minute) }, true},
		"guarantee extended":   {func(o *Owners) { o.Until = noon.Add(3 * time.Hour) }, false},
		"oldest epoch removed": {func(o *Owners) { o.Epochs = []OwnerEpoch{epochAt(noon.Add(time.Hour))} }, false},
	} {
		next := sample()
		next.Generation = 2
		c.change(&next.Services[1].Owners)
		changes := Diff(accept(t, sample()), accept(t, next))
		require.NotEmpty(t, changes, name)
		violated := false
		for _, change := range changes {
			require.Equal(t, OwnersChanged, change.Kind, name)
			violated = violated || change.Violation
		}
		require.Equal(t, c.violation, violated, name)
	}
}

// Guards against findings that lack the line that an operator has to change.
func TestFindingsHaveLines(t *testing.T) {
	lines := func(text string) map[string]int {
		_, err := Accept([]byte(text))
		var e *finding.Error
		require.True(t, errors.As(err, &e), text)
		out := map[string]int{}
		for _, f := range e.Findings {
			out[f.Key] = f.Line
		}
		return out
	}
	require.Equal(t, map[string]int{"failure_domains[0].region": 4, "failure_domains[0].state": 5},
		lines("{\"generation\": 1,\n\"failure_domains\": [\n{\"name\": \"d\",\n\"region\": \"\",\n\"state\": \"off\"}]}"))
	require.Equal(t, map[string]int{"customers[0].key_sha256": 3},
		lines("{\"generation\": 1,\n\"customers\": [\n{\"name\": \"d\"}]}"))
	require.Equal(t, map[string]int{"customers[0].typo": 4},
		lines("{\"generation\": 1,\n\"customers\": [\n{\"name\": \"d\",\n\"typo\": 1}]}"))
	require.Equal(t, map[string]int{"": 2}, lines("{\"generation\": 1}\n{}"))
	require.Equal(t, map[string]int{"": 3}, lines("{\"generation\": 1,\n\n}"))
}

// Guards against adoption that disagrees with the specification: of all accepted
// documents, the one with the greatest stamp is adopted.
func TestAdoptionTakesTheGreatestStamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var adopted, greatest Stamp
		var seen []Stamp
		for _, g := range rapid.SliceOfN(rapid.IntRange(1, 4), 1, 12).Draw(t, "generations") {
			d := sample()
			d.Generation = fleet.Generation(g)
			d.Customers[0].Weight = rapid.IntRange(0, 3).Draw(t, "weight")
			s := accept(t, d).Stamp
			seen = append(seen, s)
			if s.Compare(adopted) > 0 {
				adopted = s
			}
		}
		for _, s := range seen {
			if s.Generation > greatest.Generation ||
				(s.Generation == greatest.Generation && s.Digest.String() > greatest.Digest.String()) {
				greatest = s
			}
		}
		require.Equal(t, greatest, adopted)
	})
}

// Guards against documents that crash a process, and against validation whose
// result differs between processes.
func FuzzAccept(f *testing.F) {
	data, err := json.Marshal(sample())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Add([]byte(`{"generation":1}x`))
	f.Add([]byte(`{"generation":-1,"profiles":[{"weights":{"root":"zz"}}]}`))
	f.Add([]byte("{\"generation\":1,\"services\":[{\"kind\":\"model\",\n\"limits\":{}}],\"typo\":0}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Accept(data)
		b, again := Accept(append([]byte(nil), data...))
		require.Equal(t, err == nil, again == nil)
		if err != nil {
			require.Equal(t, err.Error(), again.Error())
			return
		}
		require.Equal(t, a.Stamp, b.Stamp)
		require.Positive(t, a.Generation)
		_ = Diff(a, b)
	})
}
