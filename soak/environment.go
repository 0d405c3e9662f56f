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

// environmentCount counts the environments of this process. Each uses its own
// loopback addresses.
var environmentCount atomic.Int32

// environment holds everything that one soak starts.
type environment struct {
	options       Options
	dir           string
	group         *duty.Group
	ledger        *ledger
	store         *store
	engines       []*replica
	plainReplicas []*replica
	// annex is the replica of the annex. No fault but pauses affects it.
	annex    *replica
	gateways []*process
	// weightProcesses are the processes that distribute weights.
	weightProcesses []*process
	// origin is the link to the origin of the weights.
	origin *link
	config *configuration

	// index selects the range of loopback addresses, hostCount counts those in use.
	index     int32
	hostCount atomic.Int32
}

// zones are the failure domains. Gateways and replicas are assigned to them in
// turn.
var zones = []string{"north-a", "south-a"}

// regionOf maps each zone to its region.
var regionOf = map[string]string{"north-a": "north", "south-a": "south"}

// newHost returns a loopback address that nothing else uses.
func (env *environment) newHost() string {
	const first = 16
	n := env.hostCount.Add(1) + first
	return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%100, 1+(env.index+n/250)%250, n%250+1)
}

// listenBehindLink serves a handler behind a link and returns the link.
func (env *environment) listenBehindLink(name string, h http.Handler) (*link, error) {
	address := env.newHost() + ":8100"
	server := &http.Server{Addr: address, Handler: h}
	failed := make(chan error, 1)
	env.group.Go(name, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		err := server.ListenAndServe()
		failed <- err
		return nil
	})
	l, err := newLink(env.group, env.newHost()+":8100", address)
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

// newEnvironment starts everything that a soak needs. On an error, nothing keeps
// running.
func newEnvironment(ctx context.Context, o Options) (*environment, error) {
	dir, err := os.MkdirTemp("", "rattanspur-soak-")
	if err != nil {
		return nil, eris.Wrap(err, "soak folder")
	}
	// Each index stands for 250 addresses, so an environment has 500.
	const indexStep = 2
	env := &environment{options: o, dir: dir, group: duty.NewGroup(ctx), index: indexStep * environmentCount.Add(1)}
	env.ledger = newLedger(env.group)
	env.store = newStore(env.group)
	if err := env.build(); err != nil {
		env.close()
		return nil, err
	}
	return env, nil
}

// build starts the origin, the replicas and the processes.
func (env *environment) build() error {
	var err error
	if env.origin, err = env.listenBehindLink("origin", originHandler()); err != nil {
		return err
	}
	env.config = newConfiguration(env)
	env.store.put(keyVersion+modelName, map[string]any{"model": modelName, "version": 1})
	for i := range env.options.Engines {
		r, err := newReplica(env, fmt.Sprintf("engine-%d", i), engineService, zones[i%len(zones)])
		if err != nil {
			return err
		}
		env.engines = append(env.engines, r)
	}
	for i := range env.options.PlainReplicas {
		r, err := newReplica(env, fmt.Sprintf("desk-%d", i), plainService, zones[i%len(zones)])
		if err != nil {
			return err
		}
		env.plainReplicas = append(env.plainReplicas, r)
	}
	if env.annex, err = newReplica(env, "annex", annexService, zones[0]); err != nil {
		return err
	}
	return env.startProcesses()
}

// startProcesses starts a gateway on each gateway machine. With weights, it also
// starts a seeder there and a loader next to each engine.
func (env *environment) startProcesses() error {
	var machines []*machine
	for i := range env.options.Gateways {
		m, err := env.newMachine(fmt.Sprintf("edge-%d", i), zones[i%len(zones)])
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
		env.gateways = append(env.gateways, &process{machine: m, role: "gateway", program: env.options.Gateway})
		if env.options.Weights {
			env.weightProcesses = append(env.weightProcesses, &process{machine: m, role: "seeder", program: env.options.Binary})
		}
	}
	for i, e := range env.engines {
		if !env.options.Weights {
			break
		}
		m, err := env.newMachine(fmt.Sprintf("side-%d", i), e.zone)
		if err != nil {
			return err
		}
		m.engineAddress = e.link.target
		env.weightProcesses = append(env.weightProcesses, &process{machine: m, role: "loader", program: env.options.Binary})
	}
	for _, p := range env.processes() {
		if err := p.machine.writeSettings(seeds); err != nil {
			return err
		}
		if err := p.launch(env); err != nil {
			return err
		}
	}
	return nil
}

// processes returns all processes.
func (env *environment) processes() []*process {
	return append(append([]*process{}, env.gateways...), env.weightProcesses...)
}

// replicas returns the engines and the plain replicas.
func (env *environment) replicas() []*replica {
	return append(append([]*replica{}, env.engines...), env.plainReplicas...)
}

// close kills all processes, ends all duties and removes the folder.
func (env *environment) close() {
	for _, p := range env.processes() {
		p.kill()
	}
	env.group.Stop()
	_ = env.group.Wait()
	_ = os.RemoveAll(env.dir)
}
