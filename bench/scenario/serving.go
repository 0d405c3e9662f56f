package scenario

import (
	"context"

	"rattanspur.example/bench/lab"
)

// startServing starts a lab, publishes a small profile and waits until calls
// are answered by all engines' version. The caller must close the lab.
func startServing(ctx context.Context, env Env, o lab.Options) (*lab.Lab, error) {
	o.Binary = env.Binary
	o.ModelBytes, o.ChunkBytes = 1<<20, 256<<10
	l, err := lab.Start(o)
	if err != nil {
		return nil, err
	}
	if err := serve(ctx, l); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func serve(ctx context.Context, l *lab.Lab) error {
	_, weights, err := l.AddStore(1)
	if err != nil {
		return err
	}
	if err := l.PublishProfile("burst-1", "v1", weights); err != nil {
		return err
	}
	if err := l.AwaitServing(ctx, weights.Root.String(), len(l.Agents)); err != nil {
		return err
	}
	for _, e := range l.Entries {
		body := chatBody(string(lab.Service), "ready", false)
		err := lab.Await(ctx, func() error {
			return post(ctx, lab.HTTP, "http://"+e.Address+"/v1/chat/completions", body)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// engineModel returns the name by which the engines serve the profile.
func engineModel(*lab.Lab) (string, error) { return string(lab.Service), nil }
