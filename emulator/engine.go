package emulator

import (
	"slices"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
)

// job is a request inside an engine.
type job struct {
	promptTokens int
	// unread is the part of the prompt that is not read yet, remaining the number
	// of tokens that are still to be generated.
	unread    int
	remaining int
	// onStart, onEvent and onEnd report the head of the response, each event and
	// the end of the run. onStart is called once, before the first event.
	onStart func(dispatch.Observation)
	onEvent func()
	onEnd   func(retry.End)
	started bool
	// sent counts the events. harmful is set if the engine crashes instead of making the one
	// after harmlessEvents.
	sent           int
	harmful        bool
	harmlessEvents int
	// canceled is set once the caller has left.
	canceled bool
}

// engine models a model engine that works in passes: in each pass it reads
// prompts and generates Stride tokens for each request whose prompt it has read.
type engine struct {
	model   *EngineModel
	clock   *clock
	id      fleet.InstanceID
	address string
	region  int
	running []*job
	waiting []*job
	inPass  bool
	// version is the version that the engine serves; 0 if it has no weights.
	version int64
	// loading is the version that it loads once it is idle; 0 if there is none.
	// It accepts no requests meanwhile.
	loading  int64
	onLoaded func()
	down     bool
	// refuses is set if a down engine refuses connections, as when its process ended
	// and its machine did not.
	refuses bool
	// limit is what its answers state about the requests per second that it takes.
	limit ratelimit.Statement
	// onHarm is called when a harmful request makes the engine crash.
	onHarm func()
	// pausedUntil is when a pause ends in which the engine does nothing. Its work and what
	// arrives meanwhile go on then.
	pausedUntil time.Time
	// slowdown is how long work takes now, as a multiple of the usual time; 0 if the engine
	// works at one speed and states none. speedUnstated is set if it states none anyway.
	slowdown      float64
	speedUnstated bool
	// starts counts the starts of the engine. Work of an earlier start is lost.
	starts int64
}

// submit passes a request to the engine. It reports false if the engine refuses
// the request.
func (e *engine) submit(j *job, version int64) bool {
	if e.down || e.loading != 0 || e.version == 0 || (version != 0 && version != e.version) {
		return false
	}
	if len(e.running)+len(e.waiting) >= e.model.Slots+e.model.Queue {
		return false
	}
	j.unread = j.promptTokens
	e.waiting = append(e.waiting, j)
	e.startPass()
	return true
}

func (e *engine) load() *dispatch.Load {
	return &dispatch.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.model.Slots, Slowdown: e.statedSlowdown()}
}

// startPass begins a pass if the engine has work and none is in progress. An
// engine without work loads the weights that it was ordered to load.
func (e *engine) startPass() {
	if e.inPass || e.down {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.canceled })
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool { return j.canceled })
	for len(e.running) < e.model.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.loadWeights()
		return
	}
	e.inPass = true
	e.afterWork(e.atSpeed(e.pass()), e.endPass)
}

// afterWork runs a function once the engine has worked for d, unless it was started anew
// meanwhile.
func (e *engine) afterWork(d time.Duration, f func()) {
	start := e.starts
	e.clock.after(d, func() {
		e.whenAwake(func() {
			if e.starts == start {
				f()
			}
		})
	})
}

// whenAwake runs a function at once, or when the pause ends.
func (e *engine) whenAwake(f func()) {
	if !e.clock.now.Before(e.pausedUntil) {
		f()
		return
	}
	e.clock.at(e.pausedUntil, func() { e.whenAwake(f) })
}

// pass plans one pass and returns its duration.
func (e *engine) pass() time.Duration {
	var writers, context int
	for _, j := range e.running {
		if j.unread == 0 {
			writers++
			context += j.promptTokens
		}
	}
	budget := e.model.ChunkTokens
	var duration time.Duration
	if writers > 0 {
		step := e.model.Step + time.Duration(writers)*e.model.StepPerRequest +
			time.Duration(float64(context)/1000*float64(e.model.StepPerContext))
		duration = time.Duration(e.model.Stride) * step
		budget *= e.model.Stride
	} else {
		duration = e.model.FirstToken
	}
	read := 0
	for _, j := range e.running {
		n := min(j.unread, budget-read)
		j.unread -= n
		read += n
	}
	return duration + time.Duration(float64(read)/e.model.PromptTokensPerSecond*float64(time.Second))
}

// crashes reports whether the engine crashes instead of making the next event.
func (j *job) crashes() bool {
	return j.harmful && !j.canceled && j.unread == 0 && j.sent >= j.harmlessEvents
}

// endPass emits an event of each request whose prompt is read, and begins the
// next pass. The engine crashes instead if one of the events is that of a harmful
// request.
func (e *engine) endPass() {
	e.inPass = false
	if slices.ContainsFunc(e.running, (*job).crashes) {
		e.onHarm()
		return
	}
	running := e.running
	e.running = nil
	var ended []*job
	for _, j := range running {
		switch {
		case j.canceled:
			continue
		case j.unread == 0:
			j.remaining -= e.model.Stride
		}
		if j.unread == 0 && j.remaining <= 0 {
			ended = append(ended, j)
			continue
		}
		e.running = append(e.running, j)
	}
	for _, j := range running {
		if j.canceled || j.unread > 0 {
			continue
		}
		if !j.started {
			j.started = true
			j.onStart(dispatch.Observation{Load: e.load(), Version: e.version, Limit: e.limit})
		}
		j.sent++
		j.onEvent()
	}
	for _, j := range ended {
		j.onEnd(retry.Answered)
	}
	e.startPass()
}

// order makes the engine load a version once it is idle.
func (e *engine) order(version int64, onLoaded func()) {
	e.loading, e.onLoaded = version, onLoaded
	e.startPass()
}

func (e *engine) loadWeights() {
	if e.loading == 0 || e.inPass {
		return
	}
	e.inPass = true
	e.afterWork(e.model.LoadWeights, func() {
		e.inPass = false
		e.version, e.loading = e.loading, 0
		e.onLoaded()
	})
}

// crash ends all work and takes the engine down.
func (e *engine) crash() {
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.inPass = nil, nil, false
	e.pausedUntil = time.Time{}
	e.version, e.loading = 0, 0
	e.down = true
	e.starts++
	for _, j := range lost {
		if !j.canceled {
			j.onEnd(retry.Lost)
		}
	}
}

// restart brings a crashed engine back with a version of the weights; 0 means
// without weights.
func (e *engine) restart(version int64) {
	e.down, e.refuses = false, false
	e.version = version
}
