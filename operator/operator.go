// Package operator serves the operator page, which shows the state of the fleet
// and drafts of the next configuration. The page is read-only: operators publish
// a draft with their own tool.
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

// Prefix is the path prefix of the page.
const Prefix = "/operator"

// User is the user name for basic authentication; the password is the operator
// key.
const User = "operator"

// Snapshot is the state of the fleet as one entry knows it. Config is nil if the
// entry has no configuration yet.
type Snapshot struct {
	Self    fleet.Instance
	Config  *config.Accepted
	Members []fleet.Instance
	Events  []timeline.Event
}

// Source provides the newest snapshot.
type Source interface {
	Snapshot(ctx context.Context) (Snapshot, error)
}

// Handler returns the handler of the page, which requires the operator key. If
// key is empty, all requests are refused.
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
		return nil, eris.Wrap(err, "build operator page")
	}
	return app, nil
}

// requireKey refuses requests without the operator key.
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

// securityHeaders sets headers that prevent the page from loading other resources,
// from being embedded in other pages and from being cached.
func securityHeaders(ctx iris.Context) {
	ctx.Header("Content-Security-Policy",
		"default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	ctx.Header("X-Content-Type-Options", "nosniff")
	ctx.Header("Cache-Control", "no-store")
	ctx.Next()
}
