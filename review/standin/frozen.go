package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the machine of a loader stands still. The sheet has up to 4 s.
	freezeTime = 3350 * time.Millisecond
	// rotExcuse is how long before the order a piece may have turned bad unnoticed.
	rotExcuse = 3 * time.Second
	// frozenAt is the piece whose verification the freeze interrupts, rottenPiece one that was
	// verified before.
	frozenAt    = 24
	rottenPiece = 3
	// slowRead is how long a slow engine takes to hand out a piece.
	slowRead = 150 * time.Millisecond
	// sideMachines is the number of side machines, as on the sheet: one that freezes is 0.11.
	sideMachines = 9
)

// playFrozenLoader freezes a machine while its loader verifies the pieces that are stored at
// the engine. Right after the begin of the freeze one of them turns bad. It checks WHOLE.
func playFrozenLoader(w *world) []string {
	edge := w.newMachine("edge-1", "accra-a")
	w.seeds = []string{edge.control()}
	o := &origin{world: w}
	originAddress := w.serve(w.newHost(), o)
	var engines []*engine
	var loaders []*process
	for i := range sideMachines {
		m := w.newMachine(fmt.Sprintf("side-%d", i+1), "accra-a")
		e := w.newEngine(fmt.Sprintf("i-llm-%d", i+1), m.zone, m.ip)
		m.app, m.service = e.address, "llm-desk"
		engines = append(engines, e)
	}
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 1})
	w.putLLMConfig(3, originAddress)
	edge.launch("gateway")
	edge.launch("seeder")
	for _, e := range engines {
		loaders = append(loaders, e.machine(w).launch("loader"))
	}
	w.waitReady(edge)
	time.Sleep(3 * time.Second)
	t := w.newTraffic(edge.front(), requestInterval)
	t.start()
	time.Sleep(2 * time.Second)
	e, p := engines[0], loaders[0]
	if w.trouble && os.Getenv("VARIANT") == "slow" {
		// No machine freezes. The engine takes its time for each piece that it hands out.
		e.readTime = slowRead
		e.onVerify = func() { go e.rot(rottenPiece) }
	} else if w.trouble {
		e.onVerify = func() {
			p.signal(syscall.SIGSTOP)
			w.record.say("%s freezes while its loader verifies piece %d of version 2", p.machine.name, frozenAt)
			time.AfterFunc(50*time.Millisecond, func() { e.rot(rottenPiece) })
			time.AfterFunc(freezeTime, func() {
				w.record.say("%s wakes", p.machine.name)
				p.signal(syscall.SIGCONT)
			})
		}
	}
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 2})
	w.record.say("version 2 is named")
	time.Sleep(16 * time.Second)
	t.stop()
	served, sent := t.count(time.Time{}, time.Now())
	w.record.say("%d of %d streams served", served, sent)
	for _, e := range engines {
		e.mu.Lock()
		w.record.say("%s holds version %d; pieces that were bad when it took them: %v", e.id, e.version, e.taken)
		e.mu.Unlock()
	}
	if served*2 < sent {
		cannotRun("too little was served")
	}
	if w.trouble && !e.verified {
		cannotRun("the loader was not seen to verify version 2")
	}
	return spoiltStreams(t, engines)
}

// spoiltStreams returns the streams that clients got with tokens that were made with spoilt
// layers, unless the piece had turned bad within rotExcuse before it was taken.
func spoiltStreams(t *traffic, engines []*engine) []string {
	var broken []string
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.all {
		for _, e := range engines {
			if r.status != 200 || !strings.HasPrefix(r.signature, e.id+".") {
				continue
			}
			e.mu.Lock()
			bad := e.spoilt[r.id]
			e.mu.Unlock()
			if bad != "" {
				broken = append(broken, fmt.Sprintf("WHOLE: the client of %s got %d bytes of tokens from %s, made with %s", r.id, len(r.body), e.id, bad))
			}
		}
	}
	return broken
}

// rot makes a piece that is stored at the engine turn bad.
func (e *engine) rot(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data := bytes.Clone(e.staged[number])
	data[len(data)/2] ^= 1
	e.staged[number] = data
	e.rottenAt[number] = time.Now()
	e.world.record.say("piece %d at %s turns bad", number, e.id)
}

// take notes which pieces of a version are bad at the moment at which an order is accepted.
// The lock is held.
func (e *engine) take(version int64) {
	e.taken = nil
	e.badLayer = ""
	for number := range pieceCount {
		data, ok := e.staged[number]
		if ok && bytes.Equal(data, pieceData(version, number)) {
			continue
		}
		age := time.Since(e.rottenAt[number])
		note := fmt.Sprintf("piece %d of version %d, bad for %.3f s", number, version, age.Seconds())
		e.taken = append(e.taken, note)
		if !ok || e.rottenAt[number].IsZero() || age > rotExcuse {
			e.badLayer = note
		}
	}
}

// verifying reports whether a read of a piece belongs to the verification of version 2: all
// pieces that are stored are of that version.
func (e *engine) verifying(number int) bool {
	if number != frozenAt || e.verified || e.onVerify == nil {
		return false
	}
	for i := range pieceCount {
		if !bytes.Equal(e.staged[i], pieceData(2, i)) {
			return false
		}
	}
	e.verified = true
	return true
}

// machine returns the machine of the engine.
func (e *engine) machine(w *world) *machine {
	return &machine{world: w, name: "side-" + e.id[len(e.id)-1:], ip: e.host, zone: e.zone, app: e.address, service: "llm-desk"}
}
