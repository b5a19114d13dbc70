package command

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// writeJSON writes one JSON document and a line end.
func writeJSON(to io.Writer, output any) {
	data, err := json.MarshalIndent(output, "", "  ")
	if err != nil {
		// The outputs are structs of this package, which can be encoded.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "command: encoding the output"))
	}
	// A reader that went away is no failure of the command.
	_, _ = to.Write(append(data, '\n'))
}
