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

// pages handles the requests of the operator page.
type pages struct{ source Source }

// pageData is the data of the template. Draft is nil unless a draft is shown.
type pageData struct {
	Overview Overview
	Draft    *draftView
}

// draftView is a drafted document and its effects, or the findings that say why
// there is none.
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
		render(ctx, pageData{Overview: Summarize(s)})
	}
}

func (p *pages) state(ctx iris.Context) {
	if s, ok := p.snapshot(ctx); ok {
		_ = ctx.JSON(Summarize(s))
	}
}

func requestedChange(ctx iris.Context) Change {
	return Change{
		Action:  Action(ctx.URLParam("action")),
		Service: fleet.Service(ctx.URLParam("service")),
		Profile: fleet.ProfileName(ctx.URLParam("profile")),
		Domain:  fleet.FailureDomain(ctx.URLParam("failure_domain")),
	}
}

// draftResult is the draft for a request, or the error if the draft is not valid.
type draftResult struct {
	snapshot Snapshot
	next     *config.Accepted
	err      error
}

// requestedDraft returns the draft for the change in a request. It returns nil if
// it has already responded because there is no snapshot or configuration.
func (p *pages) requestedDraft(ctx iris.Context) *draftResult {
	s, ok := p.snapshot(ctx)
	if !ok {
		return nil
	}
	if s.Config == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration adopted yet")
		return nil
	}
	next, err := Draft(s.Config, requestedChange(ctx))
	return &draftResult{snapshot: s, next: next, err: err}
}

func (p *pages) draft(ctx iris.Context) {
	result := p.requestedDraft(ctx)
	if result == nil {
		return
	}
	d := &draftView{Change: requestedChange(ctx), Query: template.URL(ctx.Request().URL.RawQuery)}
	if result.err != nil {
		d.Findings = findingsOf(result.err)
		ctx.StatusCode(http.StatusUnprocessableEntity)
	} else {
		d.Document = string(result.next.Bytes)
		d.Changes = config.Diff(result.snapshot.Config, result.next)
		d.Effect = EffectOf(result.snapshot, result.next)
	}
	render(ctx, pageData{Overview: Summarize(result.snapshot), Draft: d})
}

func findingsOf(err error) []finding.Finding {
	var findingErr *finding.Error
	if errors.As(err, &findingErr) {
		return findingErr.Findings
	}
	return []finding.Finding{{Problem: err.Error()}}
}

func (p *pages) draftDocument(ctx iris.Context) {
	result := p.requestedDraft(ctx)
	if result == nil {
		return
	}
	if result.err != nil {
		ctx.StopWithText(http.StatusUnprocessableEntity, "%s", result.err.Error())
		return
	}
	ctx.Header("Content-Disposition", `attachment; filename="rattanspur-config.json"`)
	ctx.ContentType("application/json")
	_, _ = ctx.Write(result.next.Bytes)
}

func render(ctx iris.Context, data pageData) {
	ctx.ContentType("text/html")
	if err := pageTemplate.Execute(ctx.ResponseWriter(), data); err != nil {
		ctx.Application().Logger().Error(err)
	}
}
