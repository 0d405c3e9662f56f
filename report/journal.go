// Package report turns the entries of the journal into a page with plots, so
// that progress over the rounds can be looked at.
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

// Entry is one run of the users' bench, as the journal holds it.
type Entry struct {
	// Command is what was run: score, run, hunt, replay or incident.
	Command string
	Site    string
	At      time.Time
	// Why is what the run was for.
	Why   string
	Score float64
	Days  []Day
}

// Day is one played day.
type Day struct {
	Name string
	// Slot is the kind of day that the score weighs: quiet, trouble or scale.
	Slot string
	// Worth is the credit less prices.
	Worth float64
	// Broken says that a rule was broken.
	Broken bool
	// Prices and Amounts are by what they are for; an amount has the unit that
	// its name tells.
	Prices  map[string]float64
	Amounts map[string]float64
}

type entryDocument struct {
	Command string `json:"cmd"`
	Site    string `json:"site"`
	// At is when the run began and when it ended; a run that was cut off has no
	// end.
	At    []string     `json:"at"`
	Why   string       `json:"why"`
	Score *float64     `json:"score"`
	Days  []*dayRecord `json:"days"`
}

type dayRecord struct {
	Name   string             `json:"name"`
	Slot   string             `json:"slot"`
	Worth  *float64           `json:"G"`
	Rules  map[string]float64 `json:"rules"`
	Prices []priceRecord      `json:"prices"`
}

// priceRecord is a list of a name, an amount and a price.
type priceRecord struct {
	name          string
	amount, price float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *priceRecord) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&p.name, &p.amount, &p.price})
}

// Read reads all entries of a journal's folder, the oldest first.
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
		day := Day{Name: r.Name, Slot: r.Slot, Broken: len(r.Rules) > 0, Prices: map[string]float64{}, Amounts: map[string]float64{}}
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

// Trial reports whether the entry is that of a trial.
func (e *Entry) Trial() bool { return strings.HasPrefix(e.Why, "trial") }
