//go:build onceunsafe

package once

const checkStartTime = false
