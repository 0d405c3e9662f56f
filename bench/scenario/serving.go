package scenario

import (
	"context"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// startServing starts a lab, publishes a profile with 1 MiB of weights and waits
// until a call through every entry succeeds. It also returns the model name
// under which the engines serve the profile. The caller must close the lab.
func startServing(ctx context.Context, env Env, o lab.Options) (*lab.Lab, string, error) {
	o.Binary = env.Binary
	o.ModelBytes, o.ChunkBytes = 1<<20, 256<<10
	l, err := lab.Start(o)
	if err != nil {
		return nil, "", err
	}
	root, err := serve(ctx, l)
	if err != nil {
		l.Close()
		return nil, "", err
	}
	return l, engine.ServedName(root), nil
}

func serve(ctx context.Context, l *lab.Lab) (fleet.Digest, error) {
	_, weights, err := l.AddStore(1)
	if err != nil {
		return weights.Root, err
	}
	if err := l.PublishProfile("burst-1", "v1", weights); err != nil {
		return weights.Root, err
	}
	if err := l.AwaitLoaded(ctx, weights.Root.String(), len(l.Agents)); err != nil {
		return weights.Root, err
	}
	for _, e := range l.Entries {
		body := chatBody(string(lab.Service), "ready", false)
		err := lab.Await(ctx, func() error {
			_, err := post(ctx, lab.HTTP, "http://"+e.Address+"/v1/chat/completions", body)
			return err
		})
		if err != nil {
			return weights.Root, err
		}
	}
	return weights.Root, nil
}
