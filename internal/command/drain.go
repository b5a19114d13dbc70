package command

import (
	"context"
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
)

func newDrain() command {
	var operator operatorFlags
	flags := newSubcommand("drain", "starts the planned stop of one instance; no request is cut off",
		"lovagelift drain --operator-address 127.0.0.1:7612 --token-file kim.token")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		return drain(ctx, &operator, streams)
	}
	return command{flags: flags, run: run}
}

// drainOutput is the output of drain with --json.
type drainOutput struct {
	ActiveRequests int `json:"streams"`
}

func drain(ctx context.Context, operator *operatorFlags, streams Streams) int {
	if len(operator.addresses) != 1 {
		var findings finding.List
		findings.Add(flagPlace("operator-address"), fmt.Sprintf("drain stops one instance, and %d are named", len(operator.addresses)),
			"give the one to stop")
		return printError(streams, findings.Err())
	}
	client, err := operator.client()
	if err != nil {
		return printError(streams, err)
	}
	activeRequests, err := client.Drain(ctx)
	if err != nil {
		return printError(streams, err)
	}
	if operator.asJSON {
		writeJSON(streams.Out, drainOutput{ActiveRequests: activeRequests})
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "draining, %d requests in progress; status shows how it goes on\n", activeRequests)
	return ExitOK
}
