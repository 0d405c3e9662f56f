package published

import "fmt"

// Revision is the position of a change in the order of all changes of the store. The
// store numbers its changes, and numbers are given out again after it was restored from
// a copy, so that only the era and the number together order them: a change of a later
// era comes after all changes of earlier ones.
type Revision uint64

// MaxEra is the greatest era that a Revision holds.
const MaxEra = 1<<16 - 1

// eraShift is the position of the era in a Revision; the number is below it.
const eraShift = 48

// MaxNumber is the greatest number that a Revision holds.
const MaxNumber = 1<<eraShift - 1

// NewRevision returns the revision of a change by the era of the store, 0 if that is not
// known, and the store's number.
func NewRevision(era, number uint64) Revision {
	return Revision(min(era, MaxEra)<<eraShift | min(number, MaxNumber))
}

// Era returns how often the store had been restored.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Number returns the store's number of the change.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the revision as logs show it: the era, unless it is not known, and the
// number.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
