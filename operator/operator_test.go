package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
)

const testKey = "operator-test-key"

// pageBytesLimit is the specified maximum size of the page, for slow links.
const pageBytesLimit = 60 << 10

type fixedSource struct{ snapshot Snapshot }

func (s fixedSource) Snapshot(context.Context) (Snapshot, error) { return s.snapshot, nil }

func accepted(t *testing.T) *config.Accepted {
	t.Helper()
	profile := func(name string, root byte) config.Profile {
		return config.Profile{
			Name: fleet.ProfileName(name), Model: "advisor", Version: fleet.Version(name),
			Weights: config.Weights{Root: fleet.Digest{root}, Origin: "http://127.0.0.1:1", Region: "north"},
		}
	}
	data, err := json.Marshal(config.Document{
		Generation: 7,
		Profiles:   []config.Profile{profile("p1", 1), profile("p2", 2)},
		Services: []config.Service{{
			Name: "advisory", Kind: config.KindModel, Profile: "p1",
			Limits: config.Limits{Cold: 1, Warm: 2, RampStep: 1},
		}},
		FailureDomains: []config.FailureDomain{{Name: "north", Region: "north", State: config.DomainIn}},
	})
	require.NoError(t, err)
	a, err := config.Accept(data)
	require.NoError(t, err)
	return a
}

func snapshot(t *testing.T) Snapshot {
	t.Helper()
	s := Snapshot{Self: fleet.Instance{ID: "entry-0"}, Config: accepted(t)}
	for i := range 300 {
		s.Members = append(s.Members, fleet.Instance{
			Role: fleet.RoleAgent, Service: "advisory", State: fleet.StateLive,
			FailureDomain: "north", Serving: fleet.Digest{byte(1 + i%2)},
		})
		s.Events = append(s.Events, timeline.Event{Kind: timeline.TransferDone, Detail: strings.Repeat("x", 64)})
	}
	return s
}

func get(t *testing.T, method, path, key string) *httptest.ResponseRecorder {
	t.Helper()
	h, err := Handler(fixedSource{snapshot(t)}, testKey)
	require.NoError(t, err)
	r := httptest.NewRequest(method, path, http.NoBody)
	if key != "" {
		r.SetBasicAuth(User, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against access to the state or the configuration without the key.
func TestUnauthorizedRequestsAreRefused(t *testing.T) {
	for _, path := range []string{"/operator/", "/operator/state.json", "/operator/draft.json?action=domain-out&failure_domain=north"} {
		require.Equal(t, http.StatusUnauthorized, get(t, http.MethodGet, path, "").Code, path)
		require.Equal(t, http.StatusUnauthorized, get(t, http.MethodGet, path, "wrong").Code, path)
	}
	empty, err := Handler(fixedSource{snapshot(t)}, "")
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodGet, "/operator/", http.NoBody)
	r.SetBasicAuth(User, "")
	w := httptest.NewRecorder()
	empty.ServeHTTP(w, r)
	require.Equal(t, http.StatusUnauthorized, w.Code)
}

// Guards against requests with a method that could change state.
func TestOnlyGetIsServed(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
		code := get(t, method, "/operator/draft", testKey).Code
		require.GreaterOrEqual(t, code, http.StatusBadRequest, method)
	}
}

// Guards against a page that is too large for a slow link or refers to external
// resources.
func TestPageIsSmallAndSelfContained(t *testing.T) {
	w := get(t, http.MethodGet, "/operator/", testKey)
	require.Equal(t, http.StatusOK, w.Code)
	require.Less(t, w.Body.Len(), pageBytesLimit)
	require.NotContains(t, w.Body.String(), "http://")
	require.NotContains(t, w.Body.String(), "https://")
	require.Contains(t, w.Body.String(), "150 of 300 serve p1")
}

// Guards against a draft that changes anything else than requested.
func TestDraftContainsOnlyRequestedChange(t *testing.T) {
	current := accepted(t)
	next, err := Draft(current, Change{Action: Switch, Service: "advisory", Profile: "p2"})
	require.NoError(t, err)
	require.Equal(t, fleet.Generation(8), next.Generation)
	require.Equal(t, fleet.ProfileName("p2"), next.Services[0].Profile)
	next.Services[0].Profile = "p1"
	require.Equal(t, current.Services, next.Services)
	require.Equal(t, current.Profiles, next.Profiles)
	require.Equal(t, fleet.ProfileName("p1"), current.Services[0].Profile)

	next, err = Draft(current, Change{Action: DomainOut, Domain: "north"})
	require.NoError(t, err)
	require.False(t, next.DomainIn("north"))
	require.True(t, current.DomainIn("north"))
}

// Guards against presenting a draft that every process would reject as valid.
func TestInvalidDraftIsShownWithFindings(t *testing.T) {
	w := get(t, http.MethodGet, "/operator/draft?action=retire&profile=p1", testKey)
	require.Equal(t, http.StatusUnprocessableEntity, w.Code)
	require.Contains(t, w.Body.String(), "is retired")
	w = get(t, http.MethodGet, "/operator/draft?action=domain-out&failure_domain=nowhere", testKey)
	require.Equal(t, http.StatusUnprocessableEntity, w.Code)
	require.Contains(t, w.Body.String(), "does not exist")
}

// Guards against the injection of markup into the page.
func TestPageEscapesValues(t *testing.T) {
	w := get(t, http.MethodGet, "/operator/draft?action=%3Cscript%3E", testKey)
	require.NotContains(t, w.Body.String(), "Draft: <script>")
	require.Contains(t, w.Body.String(), "Draft: &lt;script&gt;")
}

// Guards against an effect that counts the wrong upstreams.
func TestEffectCountsUpstreamsThatLoadOrLoseWork(t *testing.T) {
	s := snapshot(t)
	next, err := Draft(s.Config, Change{Action: Switch, Service: "advisory", Profile: "p2"})
	require.NoError(t, err)
	require.Equal(t, []ServiceEffect{{Service: "advisory", Profile: "p2", Upstreams: 150}}, EffectOf(s, next).Loads)
	next, err = Draft(s.Config, Change{Action: DomainOut, Domain: "north"})
	require.NoError(t, err)
	require.Equal(t, []DomainEffect{{Domain: "north", Upstreams: 300}}, EffectOf(s, next).Losing)
	w := get(t, http.MethodGet, "/operator/draft?action=switch&service=advisory&profile=p2", testKey)
	require.Contains(t, w.Body.String(), "150 upstreams of advisory load p2")
}
