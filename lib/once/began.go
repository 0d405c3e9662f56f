//go:build !onceunsafe

package once

// checkBegan keeps keys from the time before the memory began out. The build
// tag onceunsafe drops the rule, so that the benchmark can show that its check
// notices a request that ran twice.
const checkBegan = true
