package gateway

import (
	"strings"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/poison"
)

// traits returns the traits of a request, from the broadest to the most specific
// one.
func traits(call *dispatch.Call, target string, body []byte) []poison.Trait {
	return append(partTraits(call), poison.RequestTrait(call.Key, target, body))
}

// partTraits returns the traits of the parts of a prompt, from the broadest to the most
// specific one.
func partTraits(call *dispatch.Call) []poison.Trait {
	out := make([]poison.Trait, 0, len(call.PromptParts)+1)
	for _, part := range call.PromptParts {
		out = append(out, poison.PartTrait(call.Model, part))
	}
	return out
}

// formatTraits returns a list of traits as logs show it.
func formatTraits(list []poison.Trait) string {
	names := make([]string, 0, len(list))
	for _, t := range list {
		names = append(names, t.String())
	}
	return strings.Join(names, ",")
}

// checkConvictions logs which traits were convicted or cleared since the last check
// and updates the metrics.
func (r *router) checkConvictions(now time.Time) {
	detector, metrics := r.core.Detector(), r.gateway.metrics
	convicted := map[poison.Trait]int{}
	for _, t := range detector.Convicted(now) {
		convicted[t] = detector.Check(now, []poison.Trait{t}).Episodes
		if _, known := r.convicted[t]; !known {
			_ = r.gateway.logger.Log("event", "trait-blocked", "trait", t.String(), "episodes", convicted[t])
		}
	}
	for t, episodes := range r.convicted {
		if _, still := convicted[t]; !still {
			_ = r.gateway.logger.Log("event", "trait-cleared", "trait", t.String(), "episodes", episodes)
		}
	}
	r.convicted = convicted
	metrics.suspectsLeftOut.Store(detector.LeftOut())
	metrics.crashRecords.Store(int64(detector.Crashes()))
	metrics.convictedTraits.Store(int64(len(convicted)))
}

// recordProbe logs that a request was sent to find out whether a convicted trait is
// still harmful.
func (r *router) recordProbe(req *activeRequest, a *dispatch.Send) {
	if a.Probe != 0 {
		_ = r.gateway.logger.Log("event", "trait-probed", "request", req.call.ID, "trait", a.Probe.String(), "upstream", a.Upstream)
	}
}
