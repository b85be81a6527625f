package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is beyond the length of any message that a node sends.
const maxMessageBytes = 64 << 20

// errMessageTooLong reports a message that no node sends.
var errMessageTooLong = errors.Errorf("message is longer than %d bytes", maxMessageBytes)

// codec writes messages with their length in front, and reads them up to maxMessageBytes.
// After a longer one the connection is closed.
type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements [jsonrpc2.ObjectCodec].
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return errMessageTooLong
	}
	return json.NewDecoder(io.LimitReader(stream, int64(length))).Decode(object)
}

var _ jsonrpc2.ObjectCodec = codec{}
