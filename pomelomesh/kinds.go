package pomelomesh

import (
	"sync/atomic"

	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxKind is above the number of every kind of message.
const maxKind = 64

// KindCount counts the messages of one kind that were sent, and their encoded bytes without framing.
type KindCount struct {
	Messages uint64
	Bytes    uint64
}

type kindCounters [maxKind]struct{ messages, bytes atomic.Uint64 }

// note counts an encoded item; its first field number is its kind.
func (k *kindCounters) note(data []byte) {
	kind, _, n := protowire.ConsumeTag(data)
	if n < 0 || kind >= maxKind {
		return
	}
	k[kind].messages.Add(1)
	k[kind].bytes.Add(uint64(len(data)))
}

// SentByKind returns what was sent since the start by kind of message; operators see by it what the byte budget goes on.
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
