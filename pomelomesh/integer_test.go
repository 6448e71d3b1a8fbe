package pomelomesh_test

import (
	"encoding/binary"
	"math"
	"math/bits"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// appendPrefixed appends an integer in the prefix encoding that docs/design/codec.md compares with varints: the number
// of trailing ones in the first byte is the number of bytes that follow.
func appendPrefixed(data []byte, value uint64) []byte {
	var word [9]byte
	size := max(1, (bits.Len64(value)+6)/7)
	if size > 8 {
		word[0] = 0xff
		binary.LittleEndian.PutUint64(word[1:], value)
		return append(data, word[:]...)
	}
	binary.LittleEndian.PutUint64(word[:8], value<<size|(1<<(size-1)-1))
	return append(data, word[:size]...)
}

// consumePrefixed decodes an integer written by appendPrefixed, without a loop; data must have at least nine bytes.
func consumePrefixed(data []byte) (uint64, int) {
	size := bits.TrailingZeros8(^data[0]) + 1
	if size == 9 {
		return binary.LittleEndian.Uint64(data[1:]), 9
	}
	word := binary.LittleEndian.Uint64(data)
	return word << (64 - 8*size) >> (64 - 7*size), size
}

// integers are values as in a digest, a ledger report and a grant: indexes, counts, sequence numbers, an incarnation and
// a duration in nanoseconds.
var integers = []uint64{1234, 1_800_000_000_000_000_000, 1, 0, 1, 2, 1, 8, 3, 4711, 1, 1, 1, 0, 1, 1, 93_512, 5_000_000_000}

func TestPrefixedIntegersRoundTrip(t *testing.T) {
	if got := appendPrefixed(nil, 65535); string(got) != "\xfb\xff\x07" {
		t.Fatalf("65535 encoded as % x", got)
	}
	values := append([]uint64{1<<56 - 1, 1 << 56, 1<<63 - 1, 1 << 63, math.MaxUint64}, integers...)
	for _, value := range values {
		data := appendPrefixed(nil, value)
		got, n := consumePrefixed(append(data, make([]byte, 9)...))
		if got != value || n != len(data) {
			t.Errorf("%d decoded as %d from %d of %d bytes", value, got, n, len(data))
		}
	}
}

func BenchmarkIntegers(b *testing.B) {
	var prefixed, varint []byte
	for _, value := range integers {
		prefixed = appendPrefixed(prefixed, value)
		varint = protowire.AppendVarint(varint, value)
	}
	sizes := float64(len(integers))
	b.Run("Prefixed", func(b *testing.B) {
		data := append(prefixed, make([]byte, 9)...)
		for b.Loop() {
			for at := 0; at < len(prefixed); {
				_, n := consumePrefixed(data[at:])
				at += n
			}
		}
		b.ReportMetric(float64(len(prefixed)), "B")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/sizes, "ns/integer")
	})
	b.Run("Varint", func(b *testing.B) {
		for b.Loop() {
			for at := 0; at < len(varint); {
				_, n := protowire.ConsumeVarint(varint[at:])
				at += n
			}
		}
		b.ReportMetric(float64(len(varint)), "B")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/sizes, "ns/integer")
	})
}
