// Package report renders the entries of the journal as an HTML page with plots,
// which shows the progress over the rounds.
package report

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Entry is one run of the users' benchmark, as recorded in the journal.
type Entry struct {
	// Command is the command that was run: score, run, hunt, replay or incident.
	Command string
	Site    string
	// At is when the run started.
	At time.Time
	// Why is the purpose of the run.
	Why   string
	Score float64
	Days  []Day
}

// Day is the result of one simulated day.
type Day struct {
	Name string
	// Slot is the kind of day: quiet, trouble or scale. The score weighs the kinds.
	Slot string
	// Worth is the credit minus the prices.
	Worth float64
	// RuleBroken is set if any rule was broken.
	RuleBroken bool
	// Prices and Amounts are keyed by the name of what was charged for. The name
	// states the unit of the amount.
	Prices  map[string]float64
	Amounts map[string]float64
}

// entryDocument is the JSON form of an Entry.
type entryDocument struct {
	Command string `json:"cmd"`
	Site    string `json:"site"`
	// At is the start and end time of the run; an interrupted run has no end time.
	At    []string     `json:"at"`
	Why   string       `json:"why"`
	Score *float64     `json:"score"`
	Days  []*dayRecord `json:"days"`
}

// dayRecord is the JSON form of a Day.
type dayRecord struct {
	Name   string             `json:"name"`
	Slot   string             `json:"slot"`
	Worth  *float64           `json:"G"`
	Rules  map[string]float64 `json:"rules"`
	Prices []priceRecord      `json:"prices"`
}

// priceRecord is encoded as a list of a name, an amount and a price.
type priceRecord struct {
	name          string
	amount, price float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *priceRecord) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&p.name, &p.amount, &p.price})
}

// Read returns all entries in a journal's folder, sorted by start time. It fails if
// any entry cannot be read or decoded.
func Read(dir string) ([]Entry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "list journal")
	}
	var out []Entry
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read journal")
		}
		e, err := decode(data)
		if err != nil {
			return nil, eris.Wrapf(err, "journal entry %s", filepath.Base(name))
		}
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out, nil
}

func decode(data []byte) (Entry, error) {
	var d entryDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return Entry{}, err
	}
	e := Entry{Command: d.Command, Site: d.Site, Why: d.Why}
	if len(d.At) > 0 {
		at, err := time.Parse(time.RFC3339, d.At[0])
		if err != nil {
			return Entry{}, err
		}
		e.At = at
	}
	if d.Score != nil {
		e.Score = *d.Score
	}
	for _, r := range d.Days {
		day := Day{Name: r.Name, Slot: r.Slot, RuleBroken: len(r.Rules) > 0, Prices: map[string]float64{}, Amounts: map[string]float64{}}
		if r.Worth != nil {
			day.Worth = *r.Worth
		}
		for _, p := range r.Prices {
			day.Prices[p.name], day.Amounts[p.name] = p.price, p.amount
		}
		e.Days = append(e.Days, day)
	}
	return e, nil
}

// IsTrial reports whether the run was a trial, which is not a round.
func (e *Entry) IsTrial() bool { return strings.HasPrefix(e.Why, "trial") }
