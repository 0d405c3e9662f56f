package loader

import (
	"time"

	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// holding is what is held of one version.
type holding struct {
	version  int64
	manifest *staging.Manifest
	data     [][]byte
	count    int
	core     *transfer.Core
	begun    time.Time
	// asking says that the manifest was asked for and has not come yet.
	asking  bool
	retryAt time.Time
	// searched says that the pieces at the engine were looked at.
	searching, searched bool
	// logged says that the end of the transfer was logged.
	logged bool
}

func (c *holding) whole() bool { return c.manifest != nil && c.count == len(c.data) }

func (c *holding) set() transfer.Set {
	s := transfer.NewSet(len(c.data))
	for i, d := range c.data {
		if d != nil {
			s.Add(i)
		}
	}
	return s
}

func (c *holding) add(number int, data []byte) {
	if c.data[number] == nil {
		c.data[number] = data
		c.count++
	}
}
