package main

import (
	"fmt"
	"time"
)

// versionTime is how long after the acknowledgement of a version requests may begin on an
// older one.
const versionTime = 8 * time.Second

// playLateVersion makes the open connections of all machines to the store silent, names new
// weights, and checks VERSION.
func playLateVersion(w *world) []string {
	edges := []*machine{w.newMachine("edge-1", "accra-a"), w.newMachine("edge-2", "accra-a")}
	var links []*link
	connect := func(m *machine) {
		l := w.newLink(w.storeAddress)
		m.store = l.address
		links = append(links, l)
	}
	for _, m := range edges {
		w.seeds = append(w.seeds, m.control())
		connect(m)
	}
	originAddress := w.serve(w.newHost(), &origin{world: w})
	var engines []*engine
	for i := range sideMachines {
		engines = append(engines, w.newEngine(fmt.Sprintf("i-llm-%d", i+1), "accra-a", w.newHost()))
	}
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 1})
	w.putLLMConfig(3, originAddress)
	for _, m := range edges {
		m.launch("gateway")
		m.launch("seeder")
	}
	for _, e := range engines {
		m := e.machine(w)
		connect(m)
		m.launch("loader")
	}
	w.waitReady(edges...)
	time.Sleep(3 * time.Second)
	var all []*traffic
	for _, m := range edges {
		t := w.newTraffic(m.front(), requestInterval/4)
		t.start()
		all = append(all, t)
	}
	time.Sleep(contactTime + time.Second)
	silentAt := time.Now()
	if w.trouble {
		for _, l := range links {
			l.silence()
		}
		w.record.say("the open connections to the store are silent from now on; new ones work")
		time.Sleep(100 * time.Millisecond)
	}
	named := w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 2})
	w.record.say("version 2 is named and acknowledged")
	time.Sleep(versionTime + 6*time.Second)
	served, sent := 0, 0
	for _, t := range all {
		t.stop()
		s, n := t.count(time.Time{}, time.Now())
		served, sent = served+s, sent+n
	}
	w.record.say("%d of %d streams served", served, sent)
	if served*2 < sent {
		cannotRun("too little was served")
	}
	var broken []string
	bound := named.Add(versionTime)
	for _, e := range engines {
		e.mu.Lock()
		w.record.say("%s holds version %d since %.3f s after the acknowledgement", e.id, e.version, e.loadedAt.Sub(named).Seconds())
		for id, b := range e.begun {
			if b.version < 2 && b.at.After(bound) {
				broken = append(broken, fmt.Sprintf("VERSION: %s began on version %d at %s %.3f s after version 2 was acknowledged (version_ms is %d), %.3f s after the connections fell silent",
					id, b.version, e.id, b.at.Sub(named).Seconds(), versionTime.Milliseconds(), b.at.Sub(silentAt).Seconds()))
			}
		}
		e.mu.Unlock()
	}
	return broken
}
