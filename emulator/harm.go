package emulator

import "time"

const (
	// contactCrashes is the number of crashes by requests after which the cause can
	// be known, and contactTime the time after the last of them in which all
	// gateways must have learned of it.
	contactCrashes = 5
	contactTime    = 3 * time.Second
)

// Harm holds what harmful requests did in one run, and what became of the sound
// requests of their class that were first sent at the same time.
type Harm struct {
	// Requests is the number of harmful requests, Refused the number of those that
	// were refused for good.
	Requests, Refused int
	// Crashes is the number of crashes of engines by harmful requests.
	Crashes int
	// Reached is the number of attempts of harmful requests that arrived at a
	// running engine, and ReachedLate the number of those that arrived later than
	// contactTime after crash number contactCrashes.
	Reached, ReachedLate int
	// Beside counts the sound requests whose first part a harmful request has as
	// well, Apart the other ones.
	Beside, Apart Tally

	lateFrom time.Time
	// harmfulParts holds the first parts of harmful requests, sound the counts of
	// sound requests by first part.
	harmfulParts map[string]bool
	sound        map[string]*Tally
}

func newHarm() *Harm { return &Harm{harmfulParts: map[string]bool{}, sound: map[string]*Tally{}} }

// sent counts a harmful request.
func (h *Harm) sent(p *prompt) {
	h.Requests++
	h.harmfulParts[p.firstPart()] = true
}

// reached counts an attempt of a harmful request that arrived at a running engine.
func (h *Harm) reached(now time.Time) {
	h.Reached++
	if !h.lateFrom.IsZero() && now.After(h.lateFrom) {
		h.ReachedLate++
	}
}

// crashed counts a crash by a harmful request.
func (h *Harm) crashed(now time.Time) {
	h.Crashes++
	if h.Crashes == contactCrashes {
		h.lateFrom = now.Add(contactTime)
	}
}

// addSound counts a sound request of the class of the harmful ones.
func (h *Harm) addSound(p *prompt, e ending) {
	t := h.sound[p.firstPart()]
	if t == nil {
		t = &Tally{}
		h.sound[p.firstPart()] = t
	}
	t.add(e)
}

// divide sums up the counts of the sound requests once all requests have ended.
func (h *Harm) divide() {
	for part, t := range h.sound {
		if h.harmfulParts[part] {
			h.Beside.merge(t)
		} else {
			h.Apart.merge(t)
		}
	}
}
