package pomelomesh

import (
	"sync/atomic"

	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// kindLimit is above the field number of every kind of message.
const kindLimit = 64

// KindCount holds the number of sent messages of one kind and their encoded bytes without framing.
type KindCount struct {
	Messages uint64
	Bytes    uint64
}

type kindCounters [kindLimit]struct{ messages, bytes atomic.Uint64 }

// record counts an encoded item, whose first field number is its kind.
func (k *kindCounters) record(data []byte) {
	kind, _, n := protowire.ConsumeTag(data)
	if n < 0 || kind >= kindLimit {
		return
	}
	k[kind].messages.Add(1)
	k[kind].bytes.Add(uint64(len(data)))
}

// SentByKind returns the messages sent since the start, by kind; it shows operators what uses the byte budget.
func (m *Mesh) SentByKind() map[string]KindCount {
	fields := (&pomelowire.Item{}).ProtoReflect().Descriptor().Fields()
	kinds := make(map[string]KindCount)
	for i := range fields.Len() {
		field := fields.Get(i)
		count := &m.kinds[field.Number()]
		if n := count.messages.Load(); n > 0 {
			kinds[kindName(field)] = KindCount{Messages: n, Bytes: count.bytes.Load()}
		}
	}
	return kinds
}

func kindName(field protoreflect.FieldDescriptor) string { return string(field.Message().Name()) }
