package shuttle

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// DecodeReply decodes the JSON value in the body of a reply with a framing, of which no more than limit bytes
// were read. If the body was cut short, it returns an error marked as ErrTruncated. An empty body was if only the
// connection marks its end.
func DecodeReply(body []byte, limit int, framing Framing, value any) error {
	err := json.NewDecoder(bytes.NewReader(body)).Decode(value)
	insideValue := errors.Is(err, io.ErrUnexpectedEOF) && len(body) < limit
	if insideValue || errors.Is(err, io.EOF) && framing == UntilClose {
		return errors.Mark(err, ErrTruncated)
	}
	return err
}
