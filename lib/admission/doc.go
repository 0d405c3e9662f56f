// Package admission orders waiting calls fairly by customer and priority.
package admission
