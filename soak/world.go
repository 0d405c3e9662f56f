package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
)

// worlds counts those of this program; each has its own loopback addresses.
var worlds atomic.Int32

// world is everything that one soak starts.
type world struct {
	options  Options
	dir      string
	group    *duty.Group
	ledger   *ledger
	store    *store
	engines  []*replica
	desks    []*replica
	gateways []*process
	others   []*process
	origin   *link
	config   *configuration

	number int32
	hosts  atomic.Int32
}

// zones are the failure domains; gateways and replicas are dealt out in turn.
var zones = []string{"north-a", "south-a"}

// regionOf gives the region of each zone.
var regionOf = map[string]string{"north-a": "north", "south-a": "south"}

// host returns a loopback address that nothing else uses.
func (w *world) host() string {
	const first = 16
	n := w.hosts.Add(1) + first
	return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%100, 1+(w.number+n/250)%250, n%250+1)
}

// listen serves a handler behind a link and returns the link.
func (w *world) listen(name string, h http.Handler) (*link, error) {
	address := w.host() + ":8100"
	server := &http.Server{Addr: address, Handler: h}
	failed := make(chan error, 1)
	w.group.Go(name, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		err := server.ListenAndServe()
		failed <- err
		return nil
	})
	l, err := newLink(w.group, w.host()+":8100", address)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-failed:
		return nil, eris.Wrapf(err, "listen for %s", name)
	default:
		return l, nil
	}
}

func newWorld(ctx context.Context, o Options) (*world, error) {
	dir, err := os.MkdirTemp("", "rattanspur-soak-")
	if err != nil {
		return nil, eris.Wrap(err, "soak folder")
	}
	const apart = 2
	w := &world{options: o, dir: dir, group: duty.NewGroup(ctx), number: apart * worlds.Add(1)}
	w.ledger = newLedger(w.group)
	w.store = newStore(w.group)
	if err := w.build(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) build() error {
	var err error
	if w.origin, err = w.listen("origin", originHandler()); err != nil {
		return err
	}
	w.config = newConfiguration(w)
	w.store.put(keyVersion+modelName, map[string]any{"model": modelName, "version": 1})
	for i := range w.options.Engines {
		r, err := newReplica(w, fmt.Sprintf("engine-%d", i), engineService, zones[i%len(zones)])
		if err != nil {
			return err
		}
		w.engines = append(w.engines, r)
	}
	for i := range w.options.Desks {
		r, err := newReplica(w, fmt.Sprintf("desk-%d", i), deskService, zones[i%len(zones)])
		if err != nil {
			return err
		}
		w.desks = append(w.desks, r)
	}
	return w.startProcesses()
}

// startProcesses starts the programs under test.
func (w *world) startProcesses() error {
	var machines []*machine
	for i := range w.options.Gateways {
		m, err := w.newMachine(fmt.Sprintf("edge-%d", i), zones[i%len(zones)])
		if err != nil {
			return err
		}
		machines = append(machines, m)
	}
	seeds := make([]string, 0, len(machines))
	for _, m := range machines {
		seeds = append(seeds, m.control())
	}
	for _, m := range machines {
		w.gateways = append(w.gateways, &process{machine: m, role: "gateway", program: w.options.Gateway})
		if w.options.Weights {
			w.others = append(w.others, &process{machine: m, role: "seeder", program: w.options.Binary})
		}
	}
	for i, e := range w.engines {
		if !w.options.Weights {
			break
		}
		m, err := w.newMachine(fmt.Sprintf("side-%d", i), e.zone)
		if err != nil {
			return err
		}
		m.app = e.link.target
		w.others = append(w.others, &process{machine: m, role: "loader", program: w.options.Binary})
	}
	for _, p := range w.processes() {
		if err := p.machine.writeSettings(seeds); err != nil {
			return err
		}
		if err := p.launch(w); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) processes() []*process {
	return append(append([]*process{}, w.gateways...), w.others...)
}

// replicas returns the engines and the desks.
func (w *world) replicas() []*replica {
	return append(append([]*replica{}, w.engines...), w.desks...)
}

// close kills the processes that were started and ends every duty.
func (w *world) close() {
	for _, p := range w.processes() {
		p.kill()
	}
	w.group.Stop()
	_ = w.group.Wait()
	_ = os.RemoveAll(w.dir)
}
