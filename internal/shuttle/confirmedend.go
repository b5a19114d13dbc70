package shuttle

import "io"

// confirmedEnd is the body returned by ConfirmEnd.
type confirmedEnd struct {
	io.ReadCloser
	confirm func() error
	// end is the result of the first read at the end, nil before it.
	end error
}

// ConfirmEnd returns body with an end that must be confirmed. At the end of body, a read calls confirm
// once. If that returns an error, all further reads return it instead of io.EOF.
func ConfirmEnd(body io.ReadCloser, confirm func() error) io.ReadCloser {
	return &confirmedEnd{ReadCloser: body, confirm: confirm}
}

// Read reads from the body.
func (c *confirmedEnd) Read(buffer []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.ReadCloser.Read(buffer)
	switch {
	case err != io.EOF:
		return n, err
	case n > 0:
		// The last bytes must not wait for the confirmation.
		return n, nil
	}
	c.end = io.EOF
	if err := c.confirm(); err != nil {
		c.end = err
	}
	return 0, c.end
}
