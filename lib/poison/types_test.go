package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against traits that different requests share: a customer could then have the
// requests of another one blocked, or a part be blocked for a model that it does not
// harm.
func TestTraitsOfDifferentRequestsDiffer(t *testing.T) {
	traits := []Trait{
		RequestTrait("key", "/p", []byte("body")),
		RequestTrait("other", "/p", []byte("body")),
		RequestTrait("key", "/q", []byte("body")),
		RequestTrait("key", "/p", []byte("other")),
		RequestTrait("key/p", "", []byte("body")),
		PartTrait("model", "part"),
		PartTrait("other", "part"),
		PartTrait("model", "other"),
		PartTrait("modelpart", ""),
	}
	seen := map[Trait]bool{}
	for i, trait := range traits {
		require.False(t, seen[trait], i)
		seen[trait] = true
		require.Equal(t, i < 5, trait&requestTrait != 0, i)
	}
}
