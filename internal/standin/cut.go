package standin

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/pause"
)

// Cut is where and how an upstream breaks a response off.
type Cut struct {
	// At is the number of bytes that it sends, those of the head included.
	At int
	// Wait is the time from the last byte to the end of the connection.
	Wait time.Duration
	// Reset is true if the connection is reset, and not closed like that of a whole response.
	Reset bool
}

// Send sends the beginning of a raw response in the place of one by w, and ends the connection. An error means
// that the connection can't be taken over; that the client has left is none.
func (c Cut) Send(w http.ResponseWriter, r *http.Request, response string) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "standin: cut")
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, response[:c.At])
	if c.Wait > 0 {
		pause.For(r.Context(), c.Wait)
	}
	if c.Reset {
		err = conn.(*net.TCPConn).SetLinger(0)
	}
	return errors.Wrap(err, "standin: cut")
}
