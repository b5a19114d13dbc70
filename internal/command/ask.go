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

// askTimeout is longer than any service's deadline.
const askTimeout = 5 * time.Minute

// defaultEntry is where a caller asks first when it is told nothing.
const defaultEntry = "127.0.0.1:7600"

// askFlags are the flags of ask.
type askFlags struct {
	known    []string
	caFile   string
	asJSON   bool
	question caller.Question
}

func newAsk() command {
	var asked askFlags
	flags := newSubcommand("ask", "asks a model and prints the answer as it comes",
		"lovagelift ask --model example-model \"Where is the shuttle?\"")
	flags.StringSlice(&asked.known, "e", "entry", "IP:port of an instance; repeatable; "+defaultEntry+" if none is given")
	flags.String(&asked.question.Model, "m", "model", "model or adapter to ask")
	flags.String(&asked.question.Service, "s", "service", "service that the question belongs to")
	flags.String(&asked.caFile, "", "ca", "file with the certificates that verify the instances; turns TLS on")
	flags.Bool(&asked.asJSON, "", "json", "write the whole answer as JSON once it is there")
	flags.AddPositionalValue(&asked.question.Text, "text", 1, true, "what to ask")
	run := func(ctx context.Context, streams Streams) int {
		return ask(ctx, asked, streams)
	}
	return command{flags: flags, run: run}
}

// askOutput is what ask writes with --json. Outcome is "ran" for a whole answer.
type askOutput struct {
	Outcome  outcome.Outcome `json:"outcome"`
	Answer   string          `json:"answer"`
	Instance string          `json:"instance,omitempty"`
	Attempts int             `json:"attempts"`
	// FirstToken and Total are in milliseconds.
	FirstToken int64  `json:"first-token-milliseconds"`
	Total      int64  `json:"total-milliseconds"`
	Error      string `json:"error,omitempty"`
}

func ask(ctx context.Context, asked askFlags, streams Streams) int {
	var list finding.List
	options := caller.Options{Known: asked.known, TLS: readCA(asked.caFile, &list)}
	if asked.question.Model == "" {
		list.Add(flagPlace("model"), "no model is named", "give one that GET /v1/models lists")
	}
	if err := list.Err(); err != nil {
		return fail(streams, err)
	}
	if len(options.Known) == 0 {
		options.Known = []string{defaultEntry}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	begin := time.Now()
	var output askOutput
	answer, err := caller.New(options).Ask(ctx, asked.question, func(piece string) {
		if output.FirstToken == 0 {
			output.FirstToken = time.Since(begin).Milliseconds()
		}
		if !asked.asJSON {
			fmt.Fprint(streams.Out, piece)
		}
	})
	output.Total = time.Since(begin).Milliseconds()
	output.Answer, output.Instance, output.Attempts = answer.Text, answer.Entry.Name, answer.Attempts
	output.Outcome = outcome.Ran
	if err != nil {
		output.Error = err.Error()
		output.Outcome = askOutcome(err)
	}
	if asked.asJSON {
		writeJSON(streams.Out, output)
	} else {
		fmt.Fprintln(streams.Out)
	}
	return askExit(err, streams)
}

func askOutcome(err error) outcome.Outcome {
	var failure *caller.Error
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return outcome.Unknown
}

func askExit(err error, streams Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(streams.Err, err)
	if askOutcome(err) == outcome.NotRun {
		return ExitFailed
	}
	return ExitUnknown
}
