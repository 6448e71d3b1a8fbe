package pomelomesh

import (
	"fmt"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Nesting levels whose fields are counted: for an encoded frame the frame, its items and their messages; for an encoded
// item the item and its message.
const (
	frameDepth = 3
	itemDepth  = 2
)

const (
	maxFrameBytes  = maxItemBytes + 1<<16
	maxFrameFields = 3 * maxListLength
	frameItems     = protowire.Number(3)
)

// rawFrame is an encoded frame; its items were encoded when they were queued.
type rawFrame []byte

func appendItem(frame, item []byte) []byte {
	frame = protowire.AppendTag(frame, frameItems, protowire.BytesType)
	return protowire.AppendBytes(frame, item)
}

// frameCodec is a gRPC codec that sends encoded frames unchanged and bounds the number of fields of received frames.
type frameCodec struct{}

// Name returns the gRPC content subtype of the codec.
func (frameCodec) Name() string { return "proto" }

// Marshal returns a raw frame unchanged and encodes any other protobuf message.
func (frameCodec) Marshal(v any) (mem.BufferSlice, error) {
	switch v := v.(type) {
	case rawFrame:
		return mem.BufferSlice{mem.SliceBuffer(v)}, nil
	case proto.Message:
		data, err := proto.Marshal(v)
		return mem.BufferSlice{mem.SliceBuffer(data)}, err
	}
	return nil, fmt.Errorf("cannot encode %T: want a frame or protobuf message", v)
}

// Unmarshal decodes a frame; it fails when the frame has too many fields.
func (frameCodec) Unmarshal(data mem.BufferSlice, v any) error {
	encoded := data.Materialize()
	frame, ok := v.(*pomelowire.Frame)
	if !ok {
		return fmt.Errorf("cannot decode into %T: want *pomelowire.Frame", v)
	}
	if err := checkFieldCount(encoded, frameDepth); err != nil {
		return err
	}
	return proto.Unmarshal(encoded, frame)
}

// checkFieldCount rejects a message of too many fields before anything is allocated for them. A frame of millions of
// empty entries, two bytes each, would decode to hundreds of megabytes and get the router killed for its memory use.
func checkFieldCount(data []byte, depth int) error {
	remaining := maxFrameFields
	return countFields(data, depth, &remaining)
}

func countFields(data []byte, depth int, remaining *int) error {
	for len(data) > 0 {
		*remaining--
		if *remaining < 0 {
			return malformed("more fields than allowed")
		}
		_, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return pomelorelay.NewError(pomelorelay.CodeMeshMalformed, "invalid field tag", protowire.ParseError(n))
		}
		data = data[n:]
		size := protowire.ConsumeFieldValue(1, kind, data)
		if kind == protowire.EndGroupType {
			return malformed("unexpected group")
		}
		if size < 0 {
			return pomelorelay.NewError(pomelorelay.CodeMeshMalformed, "invalid field value", protowire.ParseError(size))
		}
		if kind == protowire.BytesType && depth > 1 {
			inner, _ := protowire.ConsumeBytes(data)
			countNested(inner, depth-1, remaining)
			if *remaining < 0 {
				return malformed("more fields than allowed")
			}
		}
		data = data[size:]
	}
	return nil
}

// countNested counts the fields of a value that may be a message, ignoring parse errors. Strings and hashes rarely parse
// as a message, and the fields that they then add are few.
func countNested(data []byte, depth int, remaining *int) {
	_ = countFields(data, depth, remaining)
}
