package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

// Allocation is the plain service of a lab with a ledger.
const Allocation fleet.Service = "allocation"

// platformSide is the configuration service and the instance list of the
// processes that are cut off.
type platformSide struct {
	config     *standin.ConfigService
	instances  *standin.InstanceList
	configAddr string
	listAddr   string
}

func (l *Lab) newSide() *platformSide {
	s := &platformSide{config: standin.NewConfigService(), instances: &standin.InstanceList{}}
	service := httptest.NewServer(s.config.Handler())
	list := httptest.NewServer(s.instances.Handler())
	l.closers = append(l.closers, service.CloseClientConnections, service.Close, list.Close)
	s.configAddr, s.listAddr = service.URL, list.URL
	return s
}

func (l *Lab) isCutOff(p *Process) bool { return l.cut != nil && l.Options.CutOff(p) }

func (l *Lab) configURL(p *Process) string {
	if l.isCutOff(p) {
		return l.cut.configAddr
	}
	return l.service.URL
}

func (l *Lab) listURL(p *Process) string {
	if l.isCutOff(p) {
		return l.cut.listAddr
	}
	return l.list.URL
}

// ShowCutOff gives the processes that are cut off the newest document.
func (l *Lab) ShowCutOff() error {
	data, err := json.Marshal(l.doc)
	if err != nil {
		return eris.Wrap(err, "configuration")
	}
	l.cut.config.Put(ConfigKey, data)
	return nil
}

func (l *Lab) withLedger(p *Process) *Process {
	p.Service = Allocation
	server := httptest.NewServer(l.Options.Ledger.Handler(string(p.ID)))
	l.closers = append(l.closers, server.CloseClientConnections, server.Close)
	p.EngineURL = server.URL
	return p
}

// PublishAllocation publishes the plain service with the owners of its keys.
func (l *Lab) PublishAllocation(owners config.Owners) error {
	return l.Publish(func(d *config.Document) {
		d.Services = []config.Service{{
			Name: Allocation, Kind: config.KindPlain, PathPrefix: "/bookings",
			Once:   []config.Call{{Method: http.MethodPost, PathPrefix: "/bookings"}},
			Limits: l.Options.Limits, Owners: owners,
		}}
	})
}

// Owners returns one epoch of all agents, final for a day.
func (l *Lab) Owners() config.Owners {
	now := time.Now()
	var ids []fleet.InstanceID
	for _, p := range l.Agents {
		ids = append(ids, p.ID)
	}
	return config.Owners{
		Epochs: []config.OwnerEpoch{{Start: now.Add(-time.Hour), Instances: ids}},
		Until:  now.Add(24 * time.Hour),
	}
}

// Booking is a submission of a booking.
type Booking struct {
	Entry int
	// Name is counted at the ledger; Submission tells its submissions apart.
	Name       string
	Submission string
	// Key or Token protects the booking.
	Key   string
	Token string
	// Drop makes the ledger book without answering.
	Drop bool
}

// BookingAnswer is what a caller learnt of a submission.
type BookingAnswer struct {
	Answer
	Problem  wire.Problem
	Replayed bool
}

// Book submits a booking. An error means that the caller learnt nothing.
func (l *Lab) Book(ctx context.Context, b Booking) (BookingAnswer, error) {
	body, err := json.Marshal(standin.Booking{Name: b.Name, Drop: b.Drop})
	if err != nil {
		return BookingAnswer{}, err
	}
	header := http.Header{standin.HeaderSubmission: {b.Submission}}
	if b.Key != "" {
		header.Set(wire.HeaderKey, b.Key)
	}
	if b.Token != "" {
		header.Set(wire.HeaderToken, b.Token)
	}
	return l.postBooking(ctx, b.Entry, "/bookings", header, body)
}

func (l *Lab) postBooking(
	ctx context.Context, entry int, path string, header http.Header, body []byte,
) (BookingAnswer, error) {
	var a BookingAnswer
	url := "http://" + l.Entries[entry].Address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+CustomerKey)
	// net/http would send a request with an Idempotency-Key again by itself.
	req.GetBody = nil
	resp, err := HTTP.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	a.Status, a.Body = resp.StatusCode, string(data)
	a.Outcome = wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	a.Replayed = resp.Header.Get(wire.HeaderReplayed) != ""
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		err = json.Unmarshal(data, &a.Problem)
	}
	return a, err
}

// Token obtains a token through an entry.
func (l *Lab) Token(ctx context.Context, entry int) (wire.TokenResponse, error) {
	var t wire.TokenResponse
	body, err := json.Marshal(wire.TokenRequest{Service: Allocation})
	if err != nil {
		return t, err
	}
	a, err := l.postBooking(ctx, entry, "/v1/tokens", http.Header{}, body)
	if err != nil {
		return t, err
	}
	if a.Status != http.StatusOK {
		return t, eris.Errorf("token: status %d: %s", a.Status, a.Body)
	}
	return t, eris.Wrap(json.Unmarshal([]byte(a.Body), &t), "token")
}
