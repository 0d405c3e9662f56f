//go:build !onceunsafe

package once

// checkStartTime enables the rule that keys made before the memory's start time,
// or up to ClockStep after it, are not run. The build tag onceunsafe disables
// the rule, so that the benchmark can show that its own check detects a request
// that ran twice.
const checkStartTime = true
