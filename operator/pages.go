package operator

import (
	_ "embed"
	"errors"
	"html/template"
	"net/http"

	"github.com/kataras/iris/v12"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/fleet"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pages answers the requests of the operator page.
type pages struct{ source Source }

// view is the data of the template.
type view struct {
	Overview Overview
	Draft    *draftView
}

// draftView is a drafted document and what it would change.
type draftView struct {
	Change   Change
	Document string
	Findings []finding.Finding
	Changes  []config.Change
	Effect   Effect
	Query    template.URL
}

func (p *pages) snapshot(ctx iris.Context) (Snapshot, bool) {
	s, err := p.source.Snapshot(ctx.Request().Context())
	if err != nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "%s", err.Error())
		return s, false
	}
	return s, true
}

func (p *pages) overview(ctx iris.Context) {
	if s, ok := p.snapshot(ctx); ok {
		render(ctx, view{Overview: Summarize(s)})
	}
}

func (p *pages) state(ctx iris.Context) {
	if s, ok := p.snapshot(ctx); ok {
		_ = ctx.JSON(Summarize(s))
	}
}

func changeOf(ctx iris.Context) Change {
	return Change{
		Action:  Action(ctx.URLParam("action")),
		Service: fleet.Service(ctx.URLParam("service")),
		Profile: fleet.ProfileName(ctx.URLParam("profile")),
		Domain:  fleet.FailureDomain(ctx.URLParam("failure_domain")),
	}
}

// drafted is the draft that a request asks for, or why there is none.
type drafted struct {
	snapshot Snapshot
	next     *config.Accepted
	err      error
}

// draftOf returns nil if the request was already answered.
func (p *pages) draftOf(ctx iris.Context) *drafted {
	s, ok := p.snapshot(ctx)
	if !ok {
		return nil
	}
	if s.Config == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration adopted yet")
		return nil
	}
	next, err := Draft(s.Config, changeOf(ctx))
	return &drafted{snapshot: s, next: next, err: err}
}

func (p *pages) draft(ctx iris.Context) {
	found := p.draftOf(ctx)
	if found == nil {
		return
	}
	d := &draftView{Change: changeOf(ctx), Query: template.URL(ctx.Request().URL.RawQuery)}
	if found.err != nil {
		d.Findings = findingsOf(found.err)
		ctx.StatusCode(http.StatusUnprocessableEntity)
	} else {
		d.Document = string(found.next.Bytes)
		d.Changes = config.Diff(found.snapshot.Config, found.next)
		d.Effect = EffectOf(found.snapshot, found.next)
	}
	render(ctx, view{Overview: Summarize(found.snapshot), Draft: d})
}

func findingsOf(err error) []finding.Finding {
	var found *finding.Error
	if errors.As(err, &found) {
		return found.Findings
	}
	return []finding.Finding{{Problem: err.Error()}}
}

func (p *pages) draftDocument(ctx iris.Context) {
	found := p.draftOf(ctx)
	if found == nil {
		return
	}
	if found.err != nil {
		ctx.StopWithText(http.StatusUnprocessableEntity, "%s", found.err.Error())
		return
	}
	ctx.Header("Content-Disposition", `attachment; filename="rattanspur-config.json"`)
	ctx.ContentType("application/json")
	_, _ = ctx.Write(found.next.Bytes)
}

func render(ctx iris.Context, v view) {
	ctx.ContentType("text/html")
	if err := pageTemplate.Execute(ctx.ResponseWriter(), v); err != nil {
		ctx.Application().Logger().Error(err)
	}
}
