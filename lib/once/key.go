package once

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// maxKeyChars is the length of the longest accepted text form, "urn:uuid:...".
const maxKeyChars = 45

// timeUUIDVersion is the UUID version whose first 48 bits are a time in
// milliseconds.
const timeUUIDVersion = 7

// ErrNotUUID is returned for a key that is not a UUID.
var ErrNotUUID = errors.New("key is not a UUID")

// ErrNoTime is returned for a key that is a UUID without a usable time.
var ErrNoTime = errors.New("key is a UUID without a time; version 7 is needed")

// Key is a caller's idempotency key: a UUID of version 7. Different text forms
// of the same UUID are the same key.
type Key struct{ id uuid.UUID }

// ParseKey parses a key in any of the usual text forms of a UUID. The error is
// ErrNotUUID or ErrNoTime.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyChars {
		return Key{}, ErrNotUUID
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrNotUUID
	}
	if id.Variant() != uuid.RFC4122 || id.Version() != timeUUIDVersion {
		return Key{}, ErrNoTime
	}
	return Key{id: id}, nil
}

// KeyAt returns the key with the given time, truncated to milliseconds, and
// random bits.
func KeyAt(at time.Time, random [10]byte) Key {
	var k Key
	ms := at.UnixMilli()
	for i := range 6 {
		k.id[i] = byte(ms >> (8 * (5 - i)))
	}
	copy(k.id[6:], random[:])
	k.id[6] = timeUUIDVersion<<4 | k.id[6]&0x0f
	k.id[8] = 0x80 | k.id[8]&0x3f
	return k
}

// Time returns when the key was made, by the caller's clock.
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k.id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// String returns the canonical text of the key.
func (k Key) String() string { return k.id.String() }
