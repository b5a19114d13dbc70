package command

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// askTimeout exceeds the deadline of every service.
const askTimeout = 5 * time.Minute

// defaultEntryAddress is the instance address that ask uses without --entry.
const defaultEntryAddress = "127.0.0.1:7600"

type askFlags struct {
	entryAddresses []string
	caFile         string
	asJSON         bool
	request        caller.Request
}

func newAsk() command {
	var askOptions askFlags
	flags := newSubcommand("ask", "asks a model and prints the answer as it comes",
		"lovagelift ask --model example-model \"Where is the shuttle?\"")
	flags.StringSlice(&askOptions.entryAddresses, "e", "entry", "IP:port of an instance; repeatable; "+defaultEntryAddress+" if none is given")
	flags.String(&askOptions.request.Model, "m", "model", "model or adapter to ask")
	flags.String(&askOptions.request.Service, "s", "service", "service that the question belongs to")
	flags.String(&askOptions.caFile, "", "ca", "file with the certificates that verify the instances; turns TLS on")
	flags.Bool(&askOptions.asJSON, "", "json", "write the whole answer as JSON once it is there")
	flags.AddPositionalValue(&askOptions.request.Prompt, "text", 1, true, "what to ask")
	run := func(ctx context.Context, streams Streams) int {
		return ask(ctx, askOptions, streams)
	}
	return command{flags: flags, run: run}
}

// askOutput is the output of ask with --json. Outcome is "ran" if the answer is
// complete.
type askOutput struct {
	Outcome                outcome.Outcome `json:"outcome"`
	Answer                 string          `json:"answer"`
	Instance               string          `json:"instance,omitempty"`
	Attempts               int             `json:"attempts"`
	FirstTokenMilliseconds int64           `json:"first-token-milliseconds"`
	TotalMilliseconds      int64           `json:"total-milliseconds"`
	Error                  string          `json:"error,omitempty"`
}

func ask(ctx context.Context, flags askFlags, streams Streams) int {
	var findings finding.List
	options := caller.Options{Seeds: flags.entryAddresses, TLS: readCA(flags.caFile, &findings)}
	if flags.request.Model == "" {
		findings.Add(flagPlace("model"), "no model is named", "give one that GET /v1/models lists")
	}
	if err := findings.Err(); err != nil {
		return printError(streams, err)
	}
	if len(options.Seeds) == 0 {
		options.Seeds = []string{defaultEntryAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	start := time.Now()
	var output askOutput
	response, err := caller.New(options).Complete(ctx, flags.request, func(piece string) {
		if output.FirstTokenMilliseconds == 0 {
			output.FirstTokenMilliseconds = time.Since(start).Milliseconds()
		}
		if !flags.asJSON {
			fmt.Fprint(streams.Out, piece)
		}
	})
	output.TotalMilliseconds = time.Since(start).Milliseconds()
	output.Answer, output.Instance, output.Attempts = response.Text, response.Entry.Name, response.Attempts
	output.Outcome = outcome.Ran
	if err != nil {
		output.Error = err.Error()
		output.Outcome = askOutcome(err)
	}
	if flags.asJSON {
		writeJSON(streams.Out, output)
	} else {
		fmt.Fprintln(streams.Out)
	}
	return askExitCode(err, streams)
}

func askOutcome(err error) outcome.Outcome {
	var failure *caller.Error
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return outcome.Unknown
}

func askExitCode(err error, streams Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(streams.Err, err)
	if askOutcome(err) == outcome.NotRun {
		return ExitFailed
	}
	return ExitUnknown
}
