package command

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/lovagelift/lovagelift/internal/explain"
)

// newExplain returns the command that prints the history of one request from saved
// logs.
func newExplain() command {
	var id, paths string
	flags := newSubcommand("explain", "tells the life of one request from saved logs",
		"lovagelift explain 9c41d07be2a35f68 entry-1.log,core-1.log")
	flags.AddPositionalValue(&id, "request", 1, true, "id of the request")
	flags.AddPositionalValue(&paths, "logs", 2, true, "saved logs of the instances, separated by commas")
	run := func(_ context.Context, streams Streams) int {
		var logs explain.Log
		for path := range strings.SplitSeq(paths, ",") {
			if err := readLog(&logs, path); err != nil {
				fmt.Fprintln(streams.Err, err)
				return ExitBadInput
			}
		}
		return printHistory(streams, id, logs.History(id))
	}
	return command{flags: flags, run: run}
}

func readLog(log *explain.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return log.Read(file)
}

// requestSuffix returns the request ID of a line, which Line.String omits.
func requestSuffix(line explain.Line) string {
	id, ok := line.Fields["request"].(string)
	if !ok {
		return ""
	}
	return " request=" + id
}

// printHistory prints the history of a request. It fails if no log line names the
// request.
func printHistory(streams Streams, id string, history explain.History) int {
	fmt.Fprintf(streams.Out, "%d lines read, %d of them unreadable\n", history.LineCount, history.UnparsedCount)
	if len(history.Lines) == 0 {
		fmt.Fprintf(streams.Out, "no line names request %s\n", id)
		return ExitFailed
	}
	fmt.Fprintf(streams.Out, "request %s:\n", id)
	for _, line := range history.Lines {
		fmt.Fprintln(streams.Out, "  "+line.String())
	}
	if len(history.QuarantineLines) > 0 {
		fmt.Fprintln(streams.Out, "other attempts at the same request, under which upstreams ended:")
	}
	for _, line := range history.QuarantineLines {
		fmt.Fprintln(streams.Out, "  "+line.String()+requestSuffix(line))
	}
	fmt.Fprintln(streams.Out, "what changed around it:")
	for _, line := range history.RelatedLines {
		fmt.Fprintln(streams.Out, "  "+line.String())
	}
	return ExitOK
}
