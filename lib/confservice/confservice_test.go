package confservice

import (
	"testing"

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
