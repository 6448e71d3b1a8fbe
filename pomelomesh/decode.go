package pomelomesh

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/proto"
)

// Limits of one message, in bytes or list entries. They are far above what a fleet needs and keep a faulty peer from exhausting memory.
const (
	maxItemBytes  = 4 << 20
	maxListLength = 8192
	maxPrefixes   = 256
	maxValueBytes = 2 << 20
)

// DecodeMessage decodes and validates the wire encoding of a message; it fails with CodeMeshMalformed, or with
// CodeMeshUnknownKind for a kind added by a newer version.
func DecodeMessage(data []byte) (pomelorelay.Message, error) {
	if len(data) > maxItemBytes {
		return nil, malformed("message is too large")
	}
	if err := checkFieldCount(data, itemDepth); err != nil {
		return nil, err
	}
	var item pomelowire.Item
	if err := proto.Unmarshal(data, &item); err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeMeshMalformed, "cannot decode message", err)
	}
	return decodeItem(&item)
}

func decodeItem(item *pomelowire.Item) (pomelorelay.Message, error) {
	var d decoder
	m := d.message(item)
	if d.err != nil {
		return nil, d.err
	}
	if m == nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeMeshUnknownKind, "", nil)
	}
	return m, nil
}

func malformed(detail string) *pomelorelay.Error {
	return pomelorelay.NewError(pomelorelay.CodeMeshMalformed, detail, nil)
}

// decoder validates values as it converts them and keeps the first error.
type decoder struct {
	err error
}

func (d *decoder) fail(detail string) {
	if d.err == nil {
		d.err = malformed(detail)
	}
}

func (d *decoder) name(text string) string {
	if len(text) > pomelorelay.MaxNameBytes {
		d.fail("name is too long")
	}
	return text
}

func (d *decoder) listLength(n, limit int) int {
	if n > limit {
		d.fail("list is too long")
		return 0
	}
	return n
}

func (d *decoder) finite(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		d.fail("number is not finite")
	}
	return value
}

func (d *decoder) cost(value float64) pomelorelay.Cost {
	if value < 0 {
		d.fail("cost is negative")
	}
	return pomelorelay.Cost(d.finite(value))
}

func (d *decoder) tag(value float64) pomelorelay.Tag { return pomelorelay.Tag(d.finite(value)) }

func (d *decoder) duration(value int64) time.Duration {
	if value < 0 {
		d.fail("duration is negative")
	}
	return time.Duration(value)
}

func (d *decoder) enumValue(value, low, high int32) int32 {
	if value < low || value > high {
		d.fail("unknown enum value")
	}
	return value
}

func (d *decoder) bytes(value []byte, limit int) []byte {
	if len(value) > limit {
		d.fail("value is too large")
	}
	return value
}

func (d *decoder) copyFixed(to, value []byte) {
	if len(value) != len(to) {
		d.fail("hash, key or nonce has the wrong length")
		return
	}
	copy(to, value)
}

func (d *decoder) nameAt(names []string, index uint32) string {
	if uint64(index) >= uint64(len(names)) {
		d.fail("name index is out of range")
		return ""
	}
	return d.name(names[index])
}
