//go:build onceunsafe

package once

const checkBegan = false
