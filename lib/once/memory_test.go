package once

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func keyAt(ms int, n uint64) Key {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], n)
	return KeyAt(at(ms), random)
}

func clockAt(ms int) Clock {
	return Clock{Wall: at(ms), Elapsed: time.Duration(ms) * time.Millisecond}
}

func ownersUntil(until int, ids ...fleet.InstanceID) config.Owners {
	return config.Owners{Epochs: []config.OwnerEpoch{{Start: at(-1 << 40), Instances: ids}}, Until: at(until)}
}

func newMemory(startedAt int, change func(*Rules)) *Memory {
	r := DefaultRules()
	if change != nil {
		change(&r)
	}
	m := NewMemory(Start{Instance: "a", ID: "start-1", Secret: []byte("secret"), StartedAt: at(startedAt)}, r)
	m.Configure(ownersUntil(1<<40, "a"))
	return m
}

// Guards against a key time rule that is missing or off by one millisecond at
// its boundary.
func TestEdgesOfTheRulesByKeyTime(t *testing.T) {
	lifetime := int(DefaultRules().KeyLifetime.Milliseconds())
	grace := int(DefaultRules().Grace.Milliseconds())
	now := 10 * lifetime
	for name, c := range map[string]struct {
		made   int
		kind   Kind
		reason Reason
	}{
		"now":                   {now, Run, ""},
		"within the wait":       {now + 1000, Delay, InFuture},
		"beyond the wait":       {now + 1001, Refuse, InFuture},
		"last of the lifetime":  {now - lifetime + 1, Run, ""},
		"end of the lifetime":   {now - lifetime, Refuse, KeyExpired},
		"last of the grace":     {now - lifetime - grace + 1, Refuse, KeyExpired},
		"end of the grace":      {now - lifetime - grace, Unknown, KeyForgotten},
		"end of the clock step": {2000, Unknown, BeforeMemory},
	} {
		m := newMemory(0, nil)
		v := m.Admit(clockAt(now), Submission{Customer: "c", Key: keyAt(c.made, 1).String()})
		require.Equal(t, c.kind, v.Kind, name)
		require.Equal(t, c.reason, v.Reason, name)
	}
	m := newMemory(now, nil)
	v := m.Admit(clockAt(now), Submission{Key: keyAt(now+500, 1).String()})
	require.Equal(t, BeforeMemory, v.Reason, "an earlier start may have run a key with a future time")
	m = newMemory(0, nil)
	require.Equal(t, Run, m.Admit(clockAt(2001), Submission{Key: keyAt(2001, 1).String()}).Kind, "after the clock step")
}

// Guards against wrong owners at the boundaries of epochs and of Until, and
// against an instance that accepts a key for which no owner is published.
func TestEdgesOfEpochs(t *testing.T) {
	m := NewMemory(Start{Instance: "a", StartedAt: at(0)}, DefaultRules())
	m.Configure(config.Owners{Until: at(9000), Epochs: []config.OwnerEpoch{
		{Start: at(5000), Instances: []fleet.InstanceID{"a"}},
		{Start: at(7000), Instances: []fleet.InstanceID{"b"}},
	}})
	for made, want := range map[int]Reason{
		4999: BeforeEpochs, 5000: "", 6999: "", 7000: NotOwner, 8999: NotOwner, 9000: BeyondUntil,
	} {
		v := m.Admit(clockAt(20000), Submission{Key: keyAt(made, 1).String()})
		require.Equal(t, want, v.Reason, made)
	}
	m.Configure(config.Owners{})
	require.Equal(t, NoOwners, m.Admit(clockAt(20000), Submission{Key: keyAt(5000, 2).String()}).Reason)
	m = NewMemory(Start{Instance: "a", StartedAt: at(0)}, DefaultRules())
	m.Configure(config.Owners{Until: at(9000), Epochs: []config.OwnerEpoch{{Start: at(0)}}})
	require.Equal(t, BeforeEpochs, m.Admit(clockAt(20000), Submission{Key: keyAt(8000, 2).String()}).Reason)
}

// Guards against running a key after a later document changed an owner that an
// earlier document had published as final.
func TestChangedFinalOwnersStopKeys(t *testing.T) {
	m := newMemory(0, nil)
	require.False(t, m.Configure(config.Owners{}))
	later := ownersUntil(1<<40+1, "a")
	later.Epochs = append(later.Epochs, config.OwnerEpoch{Start: at(1 << 40), Instances: []fleet.InstanceID{"b"}})
	require.False(t, m.Configure(later), "an epoch that starts at Until changes no final owner")
	v := m.Admit(clockAt(5000), Submission{Key: keyAt(5000, 1).String()})
	require.Equal(t, Run, v.Kind)
	later.Epochs[1].Start = at(1<<40 - 1)
	require.True(t, m.Configure(config.Owners{Epochs: later.Epochs[1:], Until: later.Until}))
	require.Equal(t, OwnersChanged, m.Confirm(clockAt(5001), v.Ticket), "configuration changed before the request was sent")
	require.Equal(t, OwnersChanged, m.Admit(clockAt(6000), Submission{Key: keyAt(6000, 1).String()}).Reason)
}

// Guards against running a repeated key or token again, and against replaying
// the answer of another request.
func TestRepeats(t *testing.T) {
	m := newMemory(0, func(r *Rules) { r.MaxRecords, r.MaxRecordsPerCustomer, r.MaxAnswerBytes = 4, 3, 8 })
	text, _, err := m.Issue(clockAt(0), "c")
	require.NoError(t, err)
	for _, s := range []Submission{
		{Customer: "c", Key: keyAt(3000, 1).String(), Fingerprint: "f"},
		{Customer: "c", Token: text, Fingerprint: "f"},
	} {
		v := m.Admit(clockAt(4000), s)
		require.Equal(t, Run, v.Kind)
		require.Equal(t, Wait, m.Admit(clockAt(4000), s).Kind)
		m.Finish(clockAt(4000), v.Ticket, NotRun, nil)
		again := m.Admit(clockAt(4000), s)
		require.Equal(t, Run, again.Kind, "a request that was not run may be submitted again")
		m.Finish(clockAt(4000), v.Ticket, Ran, nil)
		require.Equal(t, Wait, m.Admit(clockAt(4000), s).Kind, "a ticket of an earlier run must have no effect")
		m.Finish(clockAt(4000), again.Ticket, Ran, &Answer{Status: 200, Body: []byte("ok")})
		require.Equal(t, "ok", string(m.Admit(clockAt(4000), s).Answer.Body))
		s.Fingerprint = "g"
		require.Equal(t, OtherRequest, m.Admit(clockAt(4000), s).Reason)
	}
	large := Submission{Key: keyAt(3000, 2).String()}
	m.Finish(clockAt(4000), m.Admit(clockAt(4000), large).Ticket, Ran, &Answer{Body: make([]byte, 9)})
	require.Equal(t, AnswerGone, m.Admit(clockAt(4000), large).Kind)
	lost := Submission{Key: keyAt(3000, 3).String()}
	m.Finish(clockAt(4000), m.Admit(clockAt(4000), lost).Ticket, AnswerLost, nil)
	require.Equal(t, RunLost, m.Admit(clockAt(4000), lost).Reason)
	require.Equal(t, Full, m.Admit(clockAt(4000), Submission{Key: keyAt(3000, 4).String()}).Reason)
	m = newMemory(0, func(r *Rules) { r.MaxRecordsPerCustomer = 1 })
	require.Equal(t, Run, m.Admit(clockAt(4000), Submission{Customer: "c", Key: keyAt(3000, 5).String()}).Kind)
	require.Equal(t, Full, m.Admit(clockAt(4000), Submission{Customer: "c", Key: keyAt(3000, 6).String()}).Reason)
	require.Equal(t, Run, m.Admit(clockAt(4000), Submission{Customer: "d", Key: keyAt(3000, 6).String()}).Kind)
}

// Guards against a token that is accepted after it expired, by another start,
// by another instance, for another customer or without a valid signature.
func TestTokenRules(t *testing.T) {
	m := newMemory(0, nil)
	text, lifetime, err := m.Issue(clockAt(0), "c")
	require.NoError(t, err)
	end := int(lifetime.Milliseconds())
	grace := int(DefaultRules().Grace.Milliseconds())
	s := Submission{Customer: "c", Token: text}
	require.Equal(t, OtherCustomer, m.Admit(clockAt(1), Submission{Customer: "d", Token: text}).Reason)
	require.Equal(t, BadToken, m.Admit(clockAt(1), Submission{Customer: "c", Token: text + "A"}).Reason)
	require.Equal(t, TokenExpired, m.Admit(clockAt(end), s).Reason)
	require.Equal(t, TokenForgotten, m.Admit(clockAt(end+grace), s).Reason)
	v := newMemory(0, nil).Admit(clockAt(end-1), s)
	require.Equal(t, Run, v.Kind)
	restarted := NewMemory(Start{Instance: "a", ID: "start-2", Secret: []byte("other")}, DefaultRules())
	require.Equal(t, OtherStart, restarted.Admit(clockAt(1), s).Reason)
	other := NewMemory(Start{Instance: "b", ID: "start-1", Secret: []byte("secret")}, DefaultRules())
	require.Equal(t, OtherInstance, other.Admit(clockAt(1), s).Reason)
}

// Guards against a key that is accepted again because its record was removed
// and the clock then stepped back.
func TestKeyIsNotAcceptedAgainAfterClockStep(t *testing.T) {
	m := newMemory(0, nil)
	s := Submission{Key: keyAt(3000, 1).String()}
	m.Finish(clockAt(3000), m.Admit(clockAt(3000), s).Ticket, Ran, nil)
	forgotten := clockAt(3000 + int((m.rules.KeyLifetime + m.rules.Grace).Milliseconds()))
	m.Admit(forgotten, Submission{Key: "x"})
	require.Zero(t, m.Len())
	back := Clock{Wall: at(3000), Elapsed: forgotten.Elapsed + time.Second}
	require.Equal(t, KeyForgotten, m.Admit(back, s).Reason)
}
