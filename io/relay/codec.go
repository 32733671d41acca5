package relay

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"

	"auburnstack/io/relay/relaypb"
)

const (
	// freeEntries is the number of list entries that a heartbeat may have whatever its length. Each further one needs
	// entryBytes bytes of its length. A real entry has more, as it holds a name; an empty one takes 2 bytes, and a hundred
	// once it is decoded.
	freeEntries = 64
	entryBytes  = 16
)

// errExpanding reports a message with more list entries than its length allows.
var errExpanding = errors.New("the message has too many entries for its length")

// boundedCodec is the codec of the server. It rejects heartbeats that would expand before it decodes them.
type boundedCodec struct {
	encoding.CodecV2
}

func newBoundedCodec() boundedCodec {
	return boundedCodec{CodecV2: encoding.GetCodecV2(grpcproto.Name)}
}

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, message any) error {
	if _, isHeartbeat := message.(*relaypb.Heartbeat); isHeartbeat {
		buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
		defer buffer.Free()
		if err := checkEntries(buffer.ReadOnlyData()); err != nil {
			return err
		}
		return c.CodecV2.Unmarshal(mem.BufferSlice{buffer}, message)
	}
	return c.CodecV2.Unmarshal(data, message)
}

// checkEntries returns errExpanding if a message has too many fields that hold messages or texts. Only those of the
// outermost message are counted, as the messages in a heartbeat hold no lists.
func checkEntries(message []byte) error {
	allowed := freeEntries + len(message)/entryBytes
	for entries := 0; len(message) > 0; {
		_, kind, length := protowire.ConsumeField(message)
		if length < 0 {
			return errors.WithStack(protowire.ParseError(length))
		}
		if kind == protowire.BytesType || kind == protowire.StartGroupType {
			entries++
		}
		if entries > allowed {
			return errors.WithStack(errExpanding)
		}
		message = message[length:]
	}
	return nil
}
