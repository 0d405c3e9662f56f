package confservice

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const instanceList = `{"revision":3,"instances":[
{"id":"a","role":"agent","address":"127.0.0.1:1","failure_domain":"d","region":"r","state":"live"},
{"id":"b","role":"entry","address":"b.example:1","failure_domain":"d","region":"r","state":"live"},
{"id":"c","role":"entry","address":"127.0.0.1:2","failure_domain":"d","region":"r","state":"leaving"}]}`

// Guards against records that members would forward although other members
// reject them.
func TestInvalidRecordsAreOmitted(t *testing.T) {
	list, err := ParseInstances([]byte(instanceList))
	require.NoError(t, err)
	require.Len(t, list.Instances, 2)
	require.Len(t, list.Invalid, 1)
	require.ErrorContains(t, list.Invalid[0], `address of instance "b"`)
}

// Guards against a list that crashes the process.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte(instanceList))
	f.Add([]byte(`{"revision":-1}`))
	f.Add([]byte(`{"instances":[{"id":"a","serving":"00"},null]}`))
	f.Add([]byte(`{"revision":1e400,"instances":[{"id":[[[]],"x":"\\\"["}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := ParseInstances(data)
		if err != nil {
			return
		}
		for _, i := range list.Instances {
			require.NoError(t, i.Check())
		}
	})
}

// Guards against one odd record that makes the whole list unreadable: a process that
// starts would never join the fleet, and a watcher would not see later changes.
func TestOddRecordHidesNoOther(t *testing.T) {
	const sound = `{"id":"b","role":"agent","address":"127.0.0.1:2","failure_domain":"d","region":"r","state":"live"}`
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, odd := range map[string]string{
		"nested":            `{"id":"b","x":{"y":"[\"","z":` + nested + `}}`,
		"only nested":       nested,
		"id is a number":    strings.Replace(sound, `"b"`, `7`, 1),
		"id is nested":      strings.Replace(sound, `"b"`, nested, 1),
		"number too large":  strings.Replace(sound, `"live"`, `1e400`, 1),
		"address of lists":  strings.Replace(sound, `"127.0.0.1:2"`, `[["127.0.0.1:2"]]`, 1),
		"port 70000":        strings.Replace(sound, `:2"`, `:70000"`, 1),
		"port 0":            strings.Replace(sound, `:2"`, `:0"`, 1),
		"any address":       strings.Replace(sound, `127.0.0.1:2`, `0.0.0.0:2`, 1),
		"digest of a byte":  strings.Replace(sound, `"live"`, `"live","serving":"00"`, 1),
		"switching by text": strings.Replace(sound, `"live"`, `"live","switching":"no"`, 1),
		"null":              `null`,
		"text":              `"b"`,
	} {
		list, err := ParseInstances([]byte(strings.Replace(instanceList, `"instances":[`, `"instances":[`+odd+`,`, 1)))
		if assert.NoError(t, err, name) {
			assert.Len(t, list.Instances, 2, name)
			assert.Len(t, list.Invalid, 2, name)
			assert.Equal(t, uint64(3), list.Revision, name)
		}
	}
	list, err := ParseInstances([]byte(strings.Replace(instanceList, `"live"}`, `"live","x":`+nested+`}`, 1)))
	require.NoError(t, err)
	assert.Len(t, list.Instances, 2, "an unknown field does not matter")
}

// Guards against a list without a usable revision that is never followed, and against a
// revision above which there is none.
func TestListWithAnOddRevision(t *testing.T) {
	for _, odd := range []string{"-1", "1e400", `"3"`, "null", "[]", "18446744073709551615"} {
		list, err := ParseInstances([]byte(strings.Replace(instanceList, `"revision":3`, `"revision":`+odd, 1)))
		if assert.NoError(t, err, odd) {
			assert.Zero(t, list.Revision, odd)
			assert.Len(t, list.Instances, 2, odd)
			assert.Len(t, list.Invalid, 2, odd)
		}
	}
	for _, odd := range []string{"", "[]", `{"instances":{}}`, `{"instances":[`} {
		_, err := ParseInstances([]byte(odd))
		assert.Error(t, err, odd)
	}
}
