package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// BrokenResponse is a raw response that is none in HTTP/1.
type BrokenResponse struct {
	Name string
	// InTrailer is true if only the trailer, after the body, is broken.
	InTrailer bool
	// statusLine is empty for one that states success, and fields are empty for a length. body is empty for a
	// short one.
	statusLine, fields, body string
	// trailer has the fields after a body in chunks.
	trailer string
}

const (
	soundStatus = "HTTP/1.1 200 OK"
	shortBody   = "seat"
	lengthField = "Content-Length: LENGTH\r\n"
)

// BrokenResponses are responses of each kind. LENGTH stands for the length of the body.
var BrokenResponses = []BrokenResponse{
	{Name: "status 000", statusLine: "HTTP/1.1 000 Nothing"},
	{Name: "status 000 until close", statusLine: "HTTP/1.1 000 Nothing", fields: "X-Seat: 7\r\n"},
	{Name: "status 099", statusLine: "HTTP/1.1 099 Nothing"},
	{Name: "a signed status", statusLine: "HTTP/1.1 +20 OK"},
	{Name: "status 600", statusLine: "HTTP/1.1 600 Beyond"},
	{Name: "status 999", statusLine: "HTTP/1.1 999 Beyond"},
	{Name: "a status without digits", statusLine: "HTTP/1.1 abc OK"},
	{Name: "a switch of protocols", statusLine: "HTTP/1.1 101 Switching Protocols", fields: "Connection: Upgrade\r\nUpgrade: other\r\n"},
	{Name: "HTTP/0.9", statusLine: "HTTP/0.9 200 OK"},
	{Name: "HTTP/2.0", statusLine: "HTTP/2.0 200 OK"},
	{Name: "HTTP/9.1", statusLine: "HTTP/9.1 200 OK"},
	{Name: "a blank in a name", fields: "X Seat: 7\r\n" + lengthField},
	{Name: "a blank before a colon", fields: "X-Seat : 7\r\n" + lengthField},
	{Name: "a blank in the name of the length", fields: "Content-Length : LENGTH\r\n"},
	{Name: "a blank in the name of the transfer coding", fields: "Transfer-Encoding : chunked\r\n"},
	{Name: "a tab in a name", fields: "X\tSeat: 7\r\n" + lengthField},
	{Name: "a control byte in a name", fields: "X\x01Seat: 7\r\n" + lengthField},
	{Name: "a zero in a name", fields: "X\x00Seat: 7\r\n" + lengthField},
	{Name: "a delete in a name", fields: "X\x7fSeat: 7\r\n" + lengthField},
	{Name: "a byte over 127 in a name", fields: "X\xe9Seat: 7\r\n" + lengthField},
	{Name: "an empty name", fields: ": 7\r\n" + lengthField},
	{Name: "a line without a colon", fields: "X-Seat\r\n" + lengthField},
	{Name: "a control byte in a value", fields: "X-Seat: \x01\r\n" + lengthField},
	{Name: "a zero in a value", fields: "X-Seat: \x00\r\n" + lengthField},
	{Name: "two lengths", fields: "Content-Length: 3\r\n" + lengthField},
	{Name: "a blank in a name of the trailer", InTrailer: true, trailer: "X Seat: 7\r\n"},
	{Name: "a control byte in a name of the trailer", InTrailer: true, trailer: "X\x01Seat: 7\r\n"},
}

// WithBody returns the response with a body.
func (b BrokenResponse) WithBody(body string) BrokenResponse {
	b.body = body
	return b
}

// text returns the raw response with further fields.
func (b BrokenResponse) text(fields string) string {
	body := cmp.Or(b.body, shortBody)
	head := cmp.Or(b.statusLine, soundStatus) + "\r\n" + fields
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, b.trailer)
	switch {
	case b.InTrailer:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	case strings.HasPrefix(b.fields, "Transfer-Encoding"):
		return head + b.fields + "\r\n" + chunks
	default:
		return head + strings.ReplaceAll(cmp.Or(b.fields, lengthField), "LENGTH", strconv.Itoa(len(body))) + "\r\n" + body
	}
}

// Send sends the response with further fields, such as "X-Seat: 7\r\n", in the place of one by w, and closes the
// connection. The request must have been read. An error means that the connection can't be taken over; that the
// client has left is none.
func (b BrokenResponse) Send(w http.ResponseWriter, r *http.Request, fields ...string) error {
	text := b.text(strings.Join(fields, ""))
	return Cut{At: len(text)}.Send(w, r, text)
}
