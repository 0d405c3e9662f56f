package entry

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// statusTimeout is the maximum time that a handler waits for the router's state.
const statusTimeout = 2 * time.Second

// statusQuery is an event that requests the router's state. The router puts its
// reply on the ring.
type statusQuery struct{ reply *ring.Ring[status] }

func (statusQuery) event() {}

// status is the router's state at one moment.
type status struct {
	config *config.Accepted
	report statusReport
}

// statusReport is the router's state as operators see it. InFlight is the number
// of attempts that the forwarders are handling, Waiting the number of queued calls
// by service.
type statusReport struct {
	Generation fleet.Generation      `json:"generation"`
	Members    int                   `json:"members"`
	InFlight   int                   `json:"carried"`
	Waiting    map[fleet.Service]int `json:"waiting"`
	Suspects   int                   `json:"suspects"`
	Stopping   bool                  `json:"stopping"`
}

func (r *router) replyStatus(ctx context.Context, q statusQuery) {
	s := status{config: r.view.Config, report: statusReport{
		Members:  len(r.view.Members),
		InFlight: r.inFlight,
		Waiting:  map[fleet.Service]int{},
		Suspects: len(r.evidence.Suspicions(r.entry.now())),
		Stopping: r.entry.grace.begun.isReached(),
	}}
	if r.view.Config != nil {
		s.report.Generation = r.view.Config.Generation
	}
	for key, queue := range r.queues.byKey {
		s.report.Waiting[key.service] += queue.Len()
	}
	_ = q.reply.Put(ctx, s)
}

// queryStatus returns the router's state. It returns an error if the router does
// not reply within statusTimeout.
func (e *Entry) queryStatus(ctx context.Context) (status, error) {
	queryCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	q := statusQuery{reply: ring.New[status](1, ring.Refuse)}
	if err := e.inbox.Put(queryCtx, q); err != nil {
		return status{}, err
	}
	return q.reply.Take(queryCtx)
}

// serveReady responds to the readiness check of load balancers.
func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	s, err := e.queryStatus(r.Context())
	if err != nil || s.config == nil || s.report.Stopping {
		http.Error(w, "router has no configuration or the process is stopping", http.StatusServiceUnavailable)
		return
	}
	e.node.ReadyHandler().ServeHTTP(w, r)
}

// fullStatus is the response to GET /status.
type fullStatus struct {
	node.Status
	Entry statusReport `json:"entry"`
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := e.queryStatus(r.Context())
	if err != nil {
		http.Error(w, "router does not answer", http.StatusServiceUnavailable)
		return
	}
	shared, err := e.node.Status(r.Context())
	if err != nil {
		http.Error(w, "gossip duty does not answer", http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, fullStatus{Status: shared, Entry: s.report})
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the model names that calls may use: the names of model
// services and of the profiles that they serve.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	c := &call{}
	s, err := e.queryStatus(r.Context())
	if err != nil || s.config == nil {
		wire.WriteProblem(w, notRun(c, "no configuration adopted yet"))
		return
	}
	if s.config.CustomerByKey(keyDigest(wire.Bearer(r.Header))) == nil {
		wire.WriteProblem(w, unauthorized(c))
		return
	}
	wire.WriteJSON(w, listModels(s.config))
}

func listModels(a *config.Accepted) modelList {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for i := range a.Services {
		s := &a.Services[i]
		if s.Kind != config.KindModel {
			continue
		}
		for _, name := range []string{string(s.Name), string(s.Profile)} {
			list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: "rattanspur"})
		}
	}
	return list
}
