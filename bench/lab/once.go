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

// Allocation is the name of the plain service of a lab with a ledger.
const Allocation fleet.Service = "allocation"

// partitionServices are the configuration service and the instance list of the
// partitioned processes.
type partitionServices struct {
	configService *standin.ConfigService
	instanceList  *standin.InstanceList
	configURL     string
	instancesURL  string
}

func (l *Lab) newPartition() *partitionServices {
	s := &partitionServices{configService: standin.NewConfigService(), instanceList: &standin.InstanceList{}}
	service := httptest.NewServer(s.configService.Handler())
	list := httptest.NewServer(s.instanceList.Handler())
	l.closers = append(l.closers, service.CloseClientConnections, service.Close, list.Close)
	s.configURL, s.instancesURL = service.URL, list.URL
	return s
}

func (l *Lab) isPartitioned(p *Process) bool { return l.partition != nil && l.Options.Partitioned(p) }

func (l *Lab) configURLFor(p *Process) string {
	if l.isPartitioned(p) {
		return l.partition.configURL
	}
	return l.configServer.URL
}

func (l *Lab) instancesURLFor(p *Process) string {
	if l.isPartitioned(p) {
		return l.partition.instancesURL
	}
	return l.instanceServer.URL
}

// PublishToPartition publishes the current document to the partitioned
// processes.
func (l *Lab) PublishToPartition() error {
	data, err := json.Marshal(l.doc)
	if err != nil {
		return eris.Wrap(err, "configuration")
	}
	l.partition.configService.Put(ConfigKey, data)
	return nil
}

func (l *Lab) attachLedger(p *Process) *Process {
	p.Service = Allocation
	server := httptest.NewServer(l.Options.Ledger.Handler(string(p.ID)))
	l.closers = append(l.closers, server.CloseClientConnections, server.Close)
	p.UpstreamURL = server.URL
	return p
}

// PublishAllocation publishes a configuration whose only service is the plain
// service of the ledger, with the owners of its keys.
func (l *Lab) PublishAllocation(owners config.Owners) error {
	return l.Publish(func(d *config.Document) {
		d.Services = []config.Service{{
			Name: Allocation, Kind: config.KindPlain, PathPrefix: "/bookings",
			Once:   []config.Call{{Method: http.MethodPost, PathPrefix: "/bookings"}},
			Limits: l.Options.Limits, Owners: owners,
		}}
	})
}

// Owners returns a single epoch in which all agents own keys. No other epoch
// starts within 24 hours.
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

// Booking is one submission of a booking, a request that must not run twice.
type Booking struct {
	Entry int
	// Name identifies the booking; the ledger counts its runs. Submission
	// distinguishes the submissions of one booking.
	Name       string
	Submission string
	// Key is the idempotency key and Token the token of the booking. Only one
	// of them is set.
	Key   string
	Token string
	// Drop makes the ledger run the booking and close the connection without a
	// response.
	Drop bool
}

// BookingAnswer is the response to a submission of a booking.
type BookingAnswer struct {
	Answer
	Problem  wire.Problem
	Replayed bool
}

// Book submits a booking. After an error the caller does not know whether the
// booking ran.
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
	// net/http retries requests with an Idempotency-Key by itself unless GetBody
	// is nil.
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
