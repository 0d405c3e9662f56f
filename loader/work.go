package loader

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/staging"
)

// workKind is what the worker does at the engine.
type workKind uint8

const (
	// search looks for verified pieces that lie at the engine.
	search workKind = iota
	// place puts all pieces in place.
	place
	// start checks what lies in place and orders the engine to take it.
	start
)

// work is one piece of work at the engine. The worker reads the copy only
// where it no longer changes.
type work struct {
	kind     workKind
	copy     *holding
	sequence int64
	manifest *staging.Manifest
	data     [][]byte
}

// errSpoilt says that a piece in place is not what it should be.
var errSpoilt = eris.New("a piece that lies at the engine does not match its digest")

// work gives the worker something to do, if it is free.
func (k *keeper) work(ctx context.Context, w work) bool {
	if k.working {
		return false
	}
	w.manifest = w.copy.manifest
	w.data = append([][]byte(nil), w.copy.data...)
	k.working = k.loader.works.Put(ctx, w) == nil
	return k.working
}

// runWorker carries out one piece of work after the other. One worker alone
// touches what lies at the engine, so no order sees a mix of versions.
func (l *Loader) runWorker(ctx context.Context) error {
	for {
		w, err := l.works.Take(ctx)
		if err != nil {
			return nil
		}
		ev := worked{work: w}
		begun := time.Now()
		switch w.kind {
		case search:
			ev.found, ev.err = l.searchPieces(ctx, w)
		case place:
			ev.err = l.placePieces(ctx, w)
		case start:
			ev.err = l.startEngine(ctx, w)
		}
		ev.took = time.Since(begun)
		if l.events.Put(ctx, ev) != nil {
			return nil
		}
	}
}

func (l *Loader) searchPieces(ctx context.Context, w work) (map[int][]byte, error) {
	held, err := l.engine.Held(ctx, w.manifest.Model)
	if err != nil {
		return nil, err
	}
	found := map[int][]byte{}
	for i, n := range held {
		data, err := l.engine.Get(ctx, w.manifest.Model, n)
		if err != nil {
			return found, err
		}
		switch {
		case w.manifest.Verify(n, data):
			found[n] = data
		case i == 0 && len(found) == 0:
			// The first piece decides whether it is this version that lies
			// there; a spoilt one only costs its transfer.
			return found, nil
		}
	}
	return found, nil
}

func (l *Loader) placePieces(ctx context.Context, w work) error {
	for n, data := range w.data {
		if err := l.engine.Put(ctx, w.manifest.Model, n, data); err != nil {
			return err
		}
	}
	return nil
}

// startEngine reads every piece back right before the order: what lies at the
// engine may have turned bad since it was put there.
func (l *Loader) startEngine(ctx context.Context, w work) error {
	for n := range w.data {
		data, err := l.engine.Get(ctx, w.manifest.Model, n)
		if err != nil {
			return err
		}
		if w.manifest.Verify(n, data) {
			continue
		}
		_ = l.logger.Log("event", "piece-spoilt", "version", w.manifest.Version, "piece", n)
		return errSpoilt
	}
	return l.engine.Start(ctx, w.manifest.Model, w.manifest.Version, w.sequence)
}

// worked takes in the end of a piece of work.
func (k *keeper) worked(ctx context.Context, now time.Time, ev worked) {
	k.working = false
	c := ev.work.copy
	switch ev.work.kind {
	case search:
		c.searching, c.searched = false, true
		for n, data := range ev.found {
			c.add(n, data)
		}
		_ = k.loader.logger.Log("event", "pieces-found", "version", c.version, "pieces", len(ev.found), "err", ev.err)
		return
	case place:
		if ev.err == nil {
			k.core.MarkPlaced(c.version)
		}
	case start:
		if ev.err == nil {
			k.core.MarkOrdered(now, c.version)
			k.notify(ctx, 0, k.served)
		}
	}
	_ = k.loader.logger.Log("event", [...]string{"", "pieces-placed", "engine-ordered"}[ev.work.kind], "version", c.version,
		"took", ev.took.Seconds(), "sequence", ev.work.sequence, "err", ev.err)
	if eris.Is(ev.err, errSpoilt) {
		k.core.MarkCorrupt()
	}
	if ev.err != nil {
		k.core.MarkFailed(now)
	}
}
