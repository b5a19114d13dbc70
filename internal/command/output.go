package command

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// writeJSON writes output as one JSON document, followed by a newline.
func writeJSON(out io.Writer, output any) {
	data, err := json.MarshalIndent(output, "", "  ")
	if err != nil {
		// All outputs are plain data, whose encoding cannot fail.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "command: encoding the output"))
	}
	// A closed output is not a failure of the command.
	_, _ = out.Write(append(data, '\n'))
}
