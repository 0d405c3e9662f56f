package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an encoding that loses or changes information.
func TestHaveSetRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &HaveSet{
			Epoch:     rapid.Uint64().Draw(t, "epoch"),
			Seq:       rapid.Uint32().Draw(t, "seq"),
			Retaining: rapid.Bool().Draw(t, "retaining"),
			Full:      rapid.Bool().Draw(t, "full"),
		}
		if h.Full {
			h.Bitmap = rapid.SliceOfN(rapid.Uint64(), 1, 50).Draw(t, "bitmap")
		} else {
			h.Added = rapid.SliceOfN(rapid.Uint32(), 1, 50).Draw(t, "added")
		}
		got, err := DecodeHaveSet(h.Encode())
		if err != nil {
			t.Fatal(err)
		}
		require.Equal(t, h, got)
	})
}

// Guards against input that crashes the decoder, and against accepting input
// that Encode cannot have produced.
func FuzzDecodeHave(f *testing.F) {
	f.Add((&HaveSet{Epoch: 1, Seq: 2, Added: []uint32{0, 7}}).Encode())
	f.Add((&HaveSet{Epoch: 1, Seq: 64, Full: true, Retaining: true, Bitmap: []uint64{1<<64 - 1}}).Encode())
	f.Add([]byte{})
	f.Add([]byte{haveSetVersion, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHaveSet(data)
		if err != nil {
			return
		}
		require.Equal(t, data, h.Encode())
	})
}
