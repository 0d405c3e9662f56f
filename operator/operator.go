// Package operator serves the operator page: the state of the fleet, and drafts
// of the next configuration. It can only read; operators publish a draft with
// their own tool.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
)

// Prefix is the path under which the page is served.
const Prefix = "/operator"

// User is the user name that goes with the operator key.
const User = "operator"

// Snapshot is what one entry knows of the fleet.
type Snapshot struct {
	Self    fleet.Instance
	Config  *config.Accepted
	Members []fleet.Instance
	Events  []timeline.Event
}

// Source gives the newest snapshot.
type Source interface {
	Snapshot(ctx context.Context) (Snapshot, error)
}

// Handler serves the page to whoever knows the key. Without a key in the
// settings nobody can open it.
func Handler(source Source, key string) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("error")
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrectionRedirection)
	p := &pages{source: source}
	party := app.Party(Prefix, requireKey(key), securityHeaders)
	party.Get("/", p.overview)
	party.Get("/draft", p.draft)
	party.Get("/draft.json", p.draftDocument)
	party.Get("/state.json", p.state)
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "operator page")
	}
	return app, nil
}

// requireKey lets only requests with the operator key pass.
func requireKey(key string) iris.Handler {
	return func(ctx iris.Context) {
		user, password, _ := ctx.Request().BasicAuth()
		sameUser := subtle.ConstantTimeCompare([]byte(user), []byte(User))
		sameKey := subtle.ConstantTimeCompare([]byte(password), []byte(key))
		if key == "" || sameUser&sameKey != 1 {
			ctx.Header("WWW-Authenticate", `Basic realm="rattanspur"`)
			ctx.StopWithStatus(http.StatusUnauthorized)
			return
		}
		ctx.Next()
	}
}

// securityHeaders keeps the page from loading or being embedded by others.
func securityHeaders(ctx iris.Context) {
	ctx.Header("Content-Security-Policy",
		"default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	ctx.Header("X-Content-Type-Options", "nosniff")
	ctx.Header("Cache-Control", "no-store")
	ctx.Next()
}
