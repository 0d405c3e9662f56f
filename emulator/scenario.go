package emulator

import (
	"iter"
	"reflect"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"rattanspur.example/lib/fleet"
)

// Scenario describes one emulated deployment and what happens to it. All times
// count from the start of the traffic.
type Scenario struct {
	Fleet   Fleet          `ini:"fleet"`
	Engine  EngineModel    `ini:"engine"`
	Network Network        `ini:"network"`
	Traffic Traffic        `ini:"traffic"`
	Weights WeightChange   `ini:"weights"`
	Crash   Crash          `ini:"crash"`
	Prompts Prompts        `ini:"prompts"`
	Harmful Harmful        `ini:"harmful"`
	Limits  StatedLimits   `ini:"limits"`
	Pause   Pause          `ini:"pause"`
	Restart GatewayRestart `ini:"restart"`
	Speed   EngineSpeed    `ini:"speed"`
	// Classes are the kinds of request, one for each section whose name starts
	// with classPrefix.
	Classes []Class `ini:"-"`
}

// Fleet is the number of processes. Gateways and engines are spread evenly over
// the regions.
type Fleet struct {
	Regions  int `ini:"regions"`
	Gateways int `ini:"gateways"`
	Engines  int `ini:"engines"`
	// AddedEngines join one after the other from AddedFrom to AddedUntil.
	AddedEngines int           `ini:"added_engines"`
	AddedFrom    time.Duration `ini:"added_from"`
	AddedUntil   time.Duration `ini:"added_until"`
}

// EngineModel holds the figures that determine how fast an engine works.
type EngineModel struct {
	Slots int `ini:"slots"`
	// Queue is the number of requests that may wait inside the engine.
	Queue int `ini:"queue"`
	// Step is the time of one step that generates a token for each running
	// request; StepPerRequest is added for each of them, and StepPerContext for
	// each 1,000 tokens of their contexts.
	Step           time.Duration `ini:"step"`
	StepPerRequest time.Duration `ini:"step_per_request"`
	StepPerContext time.Duration `ini:"step_per_context"`
	// Stride is the number of steps in one pass, and of tokens in one event.
	Stride int `ini:"stride"`
	// PromptTokensPerSecond is the speed of reading prompts; at most ChunkTokens
	// are read in one step.
	PromptTokensPerSecond float64 `ini:"prompt_tokens_per_second"`
	ChunkTokens           int     `ini:"chunk_tokens"`
	// FirstToken is the time from the end of reading a prompt to its first token
	// on an engine that has nothing else to do.
	FirstToken time.Duration `ini:"first_token"`
	// ColdPerSecond is the number of requests per second that a cold engine bears;
	// 0 means no limit. ColdOverrun and ColdSlack raise it, as in the settings of a
	// gateway.
	ColdPerSecond float64 `ini:"cold_per_second"`
	ColdOverrun   float64 `ini:"cold_overrun"`
	ColdSlack     float64 `ini:"cold_slack"`
	// LoadWeights is the time in which an idle engine loads a version.
	LoadWeights time.Duration `ini:"load_weights"`
}

// Network holds the one-way delays of messages.
type Network struct {
	InRegion    time.Duration `ini:"in_region"`
	CrossRegion time.Duration `ini:"cross_region"`
	// Caller is the delay between a caller and its gateway.
	Caller time.Duration `ini:"caller"`
	// DatagramLoss is the fraction of the messages between gateways that is lost.
	DatagramLoss float64 `ini:"datagram_loss"`
	// Registration is the time until gateways see a changed registration of an
	// engine.
	Registration time.Duration `ini:"registration"`
}

// Traffic is the load of the callers.
type Traffic struct {
	Length time.Duration `ini:"length"`
	// PerSecond is the rate of new requests at full load, over all gateways.
	PerSecond float64 `ini:"per_second"`
	// Unevenness is the largest deviation of a gateway's part of the traffic from
	// the mean, as a fraction of the mean.
	Unevenness float64 `ini:"unevenness"`
	// RampFrom is the fraction of PerSecond at the start; it grows evenly to 1 at
	// RampUntil.
	RampFrom  float64       `ini:"ramp_from"`
	RampUntil time.Duration `ini:"ramp_until"`
	// BurstFactor multiplies the rate for BurstFor from BurstAt; 0 means no burst.
	BurstFactor float64       `ini:"burst_factor"`
	BurstAt     time.Duration `ini:"burst_at"`
	BurstFor    time.Duration `ini:"burst_for"`
	// EstimateError is the standard deviation of the logarithm of the callers'
	// estimates of the lengths of their answers.
	EstimateError float64 `ini:"estimate_error"`
	// Deadline is how long a caller waits in total. Retries is how often it
	// returns after it was rejected.
	Deadline time.Duration `ini:"deadline"`
	Retries  int           `ini:"retries"`
}

// WeightChange is the publication of one or two new versions of the weights.
type WeightChange struct {
	// At is the time of the publication; 0 means that there is none.
	At time.Duration `ini:"at"`
	// Window is the time after the publication within which all engines must
	// serve the version.
	Window time.Duration `ini:"window"`
	// CopiesFrom and CopiesUntil are the times after the publication at which the
	// first and the last loader hold a complete copy.
	CopiesFrom  time.Duration `ini:"copies_from"`
	CopiesUntil time.Duration `ini:"copies_until"`
	// SecondAt, SecondCopiesFrom and SecondCopiesUntil are the same for a second
	// new version.
	SecondAt          time.Duration `ini:"second_at"`
	SecondCopiesFrom  time.Duration `ini:"second_copies_from"`
	SecondCopiesUntil time.Duration `ini:"second_copies_until"`
}

// Crash takes engines down: a share of all of them, or all of one region if Region is set.
type Crash struct {
	// At is when the first engine crashes. Each of the others follows Turn after the one
	// before it; a Turn of 0 makes them crash together.
	At     time.Duration `ini:"at"`
	Turn   time.Duration `ini:"turn"`
	For    time.Duration `ini:"for"`
	Share  float64       `ini:"share"`
	Region fleet.Region  `ini:"region"`
	// KeepsWeights is set if the engines serve their version again when they come
	// back. Otherwise they come back without weights.
	KeepsWeights bool `ini:"keeps_weights"`
}

// Pause makes a share of the engines do nothing for a while and then go on, as when
// their processes are stalled.
type Pause struct {
	// At is when the first engine pauses; 0 means that none does. Each of the others
	// follows Turn after the one before it; a Turn of 0 makes them pause together.
	At    time.Duration `ini:"at"`
	For   time.Duration `ini:"for"`
	Share float64       `ini:"share"`
	Turn  time.Duration `ini:"turn"`
}

// Prompts describes what the prompts of different requests have in common. Each
// request also has a part of its own.
type Prompts struct {
	// Customers is the number of callers' keys; 0 means that requests have none.
	Customers int `ini:"customers"`
	// CustomerSkew makes the customer at place n 1/n^CustomerSkew times as frequent as the
	// first one, and the customers known to the gateways, which share capacity among them. 0
	// means that all are equally frequent and unknown.
	CustomerSkew float64 `ini:"customer_skew"`
	// FirstParts is the number of first parts of each class, of which a few are
	// frequent; 0 means that prompts have none in common.
	FirstParts int `ini:"first_parts"`
	// FurtherShare is the fraction of the requests with a second shared part, of
	// which each class has FurtherParts.
	FurtherParts int     `ini:"further_parts"`
	FurtherShare float64 `ini:"further_share"`
}

// Harmful makes a share of the requests of a class crash each engine that begins
// to answer them: their second shared part does.
type Harmful struct {
	// Class is the name of the class; empty means that there are no such requests.
	Class string  `ini:"class"`
	Share float64 `ini:"share"`
	// From and Until limit when such requests are first sent.
	From  time.Duration `ini:"from"`
	Until time.Duration `ini:"until"`
	// Down is how long an engine is down after a crash. It keeps its weights.
	Down time.Duration `ini:"down"`
	// Events is the number of events of an answer that the engine makes before it crashes.
	Events int `ini:"events"`
}

// during reports whether requests of a class that are first sent at a time may be
// harmful.
func (h *Harmful) during(class string, at time.Duration) bool {
	return h.Class != "" && class == h.Class && at >= h.From && at < h.Until
}

// Class is a kind of request.
type Class struct {
	Name string `ini:"-"`
	// Weight is the relative number of requests of the class.
	Weight float64 `ini:"weight"`
	// PromptTokens and Events are mean sizes. The sizes are distributed
	// log-normally and cut off at the maxima.
	PromptTokens    float64 `ini:"prompt_tokens"`
	MaxPromptTokens float64 `ini:"max_prompt_tokens"`
	Events          float64 `ini:"events"`
	MaxEvents       float64 `ini:"max_events"`
	// Spread is the standard deviation of both sizes as a fraction of the means.
	Spread float64 `ini:"spread"`
	// Goal is the time to the first event, and GapGoal the time between two
	// events, within which an answer is in time.
	Goal    time.Duration `ini:"goal"`
	GapGoal time.Duration `ini:"gap_goal"`
	// Rank is the urgency of the class; 0 is the most urgent.
	Rank int `ini:"rank"`
}

// gapPatience returns the longest gap between two events that callers bear.
func (c *Class) gapPatience() time.Duration {
	return max(minGapPatience, 4*c.Goal, 8*c.GapGoal)
}

// minGapPatience is the gap that callers of all classes bear.
const minGapPatience = 2 * time.Second

// classPrefix starts the names of the sections that define classes.
const classPrefix = "class "

// ReadScenario reads a scenario from an INI file.
func ReadScenario(path string) (*Scenario, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "scenario %s", path)
	}
	s := &Scenario{}
	if err := file.StrictMapTo(s); err != nil {
		return nil, eris.Wrapf(err, "scenario %s", path)
	}
	if err := checkKeys(file); err != nil {
		return nil, eris.Wrapf(err, "scenario %s", path)
	}
	for _, section := range file.Sections() {
		name, ok := cutClassName(section.Name())
		if !ok {
			continue
		}
		c := Class{Name: name}
		if err := section.StrictMapTo(&c); err != nil {
			return nil, eris.Wrapf(err, "scenario %s, class %s", path, name)
		}
		s.Classes = append(s.Classes, c)
	}
	return s, s.check(path)
}

// checkKeys reports the first section or key that no field of a scenario has.
func checkKeys(file *ini.File) error {
	known := map[string]reflect.Type{}
	for f := range fieldsByKey(reflect.TypeFor[Scenario]()) {
		known[f.key] = f.fieldType
	}
	for _, section := range file.Sections() {
		t := known[section.Name()]
		if _, ok := cutClassName(section.Name()); ok {
			t = reflect.TypeFor[Class]()
		}
		if t == nil && section.Name() != ini.DefaultSection {
			return eris.Errorf("unknown section [%s]", section.Name())
		}
		for _, key := range section.KeyStrings() {
			if t == nil || !hasKey(t, key) {
				return eris.Errorf("unknown key %s in section [%s]", key, section.Name())
			}
		}
	}
	return nil
}

func hasKey(t reflect.Type, key string) bool {
	for f := range fieldsByKey(t) {
		if f.key == key {
			return true
		}
	}
	return false
}

// keyedField is a field of a struct with its key in an INI file.
type keyedField struct {
	key       string
	fieldType reflect.Type
}

// fieldsByKey returns the fields of a struct that an INI file may set.
func fieldsByKey(t reflect.Type) iter.Seq[keyedField] {
	return func(yield func(keyedField) bool) {
		for i := range t.NumField() {
			f := t.Field(i)
			if key := f.Tag.Get("ini"); key != "-" && !yield(keyedField{key: key, fieldType: f.Type}) {
				return
			}
		}
	}
}

func cutClassName(section string) (name string, ok bool) {
	if len(section) <= len(classPrefix) || section[:len(classPrefix)] != classPrefix {
		return "", false
	}
	return section[len(classPrefix):], true
}

// check reports a value without which a scenario cannot be played.
func (s *Scenario) check(path string) error {
	h := s.Harmful
	for _, c := range []struct {
		valid bool
		what  string
	}{
		{s.Fleet.Regions > 0 && s.Fleet.Gateways > 0 && s.Fleet.Engines > 0, "[fleet] needs regions, gateways and engines"},
		{s.Engine.Slots > 0 && s.Engine.Stride > 0 && s.Engine.Step > 0, "[engine] needs slots, stride and step"},
		{s.Engine.PromptTokensPerSecond > 0 && s.Engine.ChunkTokens > 0, "[engine] needs prompt_tokens_per_second and chunk_tokens"},
		{s.Traffic.Length > 0 && s.Traffic.PerSecond > 0 && s.Traffic.Deadline > 0, "[traffic] needs length, per_second and deadline"},
		{len(s.Classes) > 0, "no section [" + classPrefix + "NAME]"},
		{s.Crash.Region == "" || s.hasRegion(s.Crash.Region), "[crash] region: no such region: " + string(s.Crash.Region)},
		{s.Prompts.FurtherShare == 0 || s.Prompts.FurtherParts > 0, "[prompts] further_share needs further_parts"},
		{h.Class == "" || s.hasClass(h.Class), "[harmful] class: no section [" + classPrefix + h.Class + "]"},
		{h.Class == "" || h.Share > 0 && h.Share <= 1, "[harmful] needs a share above 0 and up to 1"},
		{h.Class == "" || h.Until > h.From && h.Down > 0, "[harmful] needs until after from, and down"},
		{h.Class == "" || s.Prompts.FirstParts > 0, "[harmful] needs first_parts in [prompts]"},
		{h.Class != "" || h == Harmful{}, "[harmful] needs class"},
		{s.Limits.At == 0 || s.Limits.Until > s.Limits.At && s.Limits.Share > 0 && s.Limits.Share <= 1, "[limits] needs until after at, and a share above 0 and up to 1"},
		{s.Pause.At == 0 || s.Pause.For > 0 && s.Pause.Share > 0 && s.Pause.Share <= 1, "[pause] needs for, and a share above 0 and up to 1"},
		{s.Speed.valid(), "[speed] needs a share above 0 and up to 1, factor and interval"},
		{s.Restart.At == 0 || s.Restart.Count > 0 && s.Restart.Count <= s.Fleet.Gateways, "[restart] needs a count of up to the number of gateways"},
	} {
		if !c.valid {
			return eris.Errorf("scenario %s: %s", path, c.what)
		}
	}
	return nil
}

func (s *Scenario) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

func (s *Scenario) hasRegion(name fleet.Region) bool {
	for i := range s.Fleet.Regions {
		if regionName(i) == name {
			return true
		}
	}
	return false
}
