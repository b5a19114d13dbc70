package command

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// askTimeout is longer than any service's deadline.
const askTimeout = 5 * time.Minute

func newAsk() command {
	known := []string{}
	var question caller.Question
	flags := newSubcommand("ask", "asks a model and prints the answer as it comes",
		"lovagelift ask --model example-model \"Where is the shuttle?\"")
	flags.StringSlice(&known, "e", "entry", "IP:port of an instance; repeatable; 127.0.0.1:7600 if none is given")
	flags.String(&question.Model, "m", "model", "model or adapter to ask")
	flags.String(&question.Service, "s", "service", "service that the question belongs to")
	flags.AddPositionalValue(&question.Text, "text", 1, true, "what to ask")
	run := func(ctx context.Context, streams Streams) int {
		if len(known) == 0 {
			known = []string{"127.0.0.1:7600"}
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		asking := caller.New(caller.Options{Known: known})
		_, err := asking.Ask(ctx, question, func(piece string) { fmt.Fprint(streams.Out, piece) })
		fmt.Fprintln(streams.Out)
		return askExit(err, streams)
	}
	return command{flags: flags, run: run}
}

func askExit(err error, streams Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(streams.Err, err)
	var failure *caller.Error
	if errors.As(err, &failure) && failure.Outcome != outcome.NotRun {
		return ExitUnknown
	}
	return ExitFailed
}
