package pomelomesh

import (
	"fmt"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// The depths at which repeated fields nest: frame, item, kind, list.
const (
	frameDepth = 3
	itemDepth  = 2
)

const (
	maxFrameBytes  = maxItemBytes + 1<<16
	maxFrameFields = 3 * maxListLength
	frameItems     = protowire.Number(3)
)

// rawFrame is a frame whose items were encoded when they were queued.
type rawFrame []byte

func appendItem(frame, item []byte) []byte {
	frame = protowire.AppendTag(frame, frameItems, protowire.BytesType)
	return protowire.AppendBytes(frame, item)
}

// frameCodec writes frames of items already encoded and bounds what it reads.
type frameCodec struct{}

// Name returns the codec's content subtype.
func (frameCodec) Name() string { return "proto" }

// Marshal returns a raw frame as it is and encodes any other message.
func (frameCodec) Marshal(v any) (mem.BufferSlice, error) {
	switch v := v.(type) {
	case rawFrame:
		return mem.BufferSlice{mem.SliceBuffer(v)}, nil
	case proto.Message:
		data, err := proto.Marshal(v)
		return mem.BufferSlice{mem.SliceBuffer(data)}, err
	}
	return nil, fmt.Errorf("no encoding for %T", v)
}

// Unmarshal reads a frame within the bounds.
func (frameCodec) Unmarshal(data mem.BufferSlice, v any) error {
	encoded := data.Materialize()
	frame, ok := v.(*pomelowire.Frame)
	if !ok {
		return fmt.Errorf("no decoding into %T", v)
	}
	if err := checkFieldCount(encoded, frameDepth); err != nil {
		return err
	}
	return proto.Unmarshal(encoded, frame)
}

// checkFieldCount walks the encoded fields before anything is allocated for them. Without it a frame of
// millions of empty entries, two bytes each, grows to hundreds of megabytes when decoded; the router is then
// killed for its memory.
func checkFieldCount(data []byte, depth int) error {
	remaining := maxFrameFields
	return countFields(data, depth, &remaining)
}

func countFields(data []byte, depth int, remaining *int) error {
	for len(data) > 0 {
		*remaining--
		if *remaining < 0 {
			return malformed("too many fields")
		}
		_, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return pomelorelay.NewError(pomelorelay.CodeMeshMalformed, "tag", protowire.ParseError(n))
		}
		data = data[n:]
		size := protowire.ConsumeFieldValue(1, kind, data)
		if kind == protowire.EndGroupType {
			return malformed("group")
		}
		if size < 0 {
			return pomelorelay.NewError(pomelorelay.CodeMeshMalformed, "field", protowire.ParseError(size))
		}
		if kind == protowire.BytesType && depth > 1 {
			inner, _ := protowire.ConsumeBytes(data)
			countNested(inner, depth-1, remaining)
			if *remaining < 0 {
				return malformed("too many fields")
			}
		}
		data = data[size:]
	}
	return nil
}

// countNested counts within a field that may be a message; text and hashes seldom parse as one and then cost little.
func countNested(data []byte, depth int, remaining *int) {
	_ = countFields(data, depth, remaining)
}
