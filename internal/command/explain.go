package command

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/lovagelift/lovagelift/internal/explain"
)

// newExplain returns the command that tells the life of one request from saved
// logs.
func newExplain() command {
	var id, files string
	flags := newSubcommand("explain", "tells the life of one request from saved logs",
		"lovagelift explain 9c41d07be2a35f68 entry-1.log,core-1.log")
	flags.AddPositionalValue(&id, "request", 1, true, "id of the request")
	flags.AddPositionalValue(&files, "logs", 2, true, "saved logs of the instances, separated by commas")
	run := func(_ context.Context, streams Streams) int {
		var log explain.Log
		for path := range strings.SplitSeq(files, ",") {
			if err := readLog(&log, path); err != nil {
				fmt.Fprintln(streams.Err, err)
				return ExitBadInput
			}
		}
		return tell(streams, id, log.Story(id))
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

// ofRequest returns the id of the request that a line is of, which String leaves out.
func ofRequest(line explain.Line) string {
	id, ok := line.Fields["request"].(string)
	if !ok {
		return ""
	}
	return " request=" + id
}

// tell writes a story. It fails if the logs do not name the request.
func tell(streams Streams, id string, story explain.Story) int {
	fmt.Fprintf(streams.Out, "%d lines read, %d of them unreadable\n", story.Read, story.Bad)
	if len(story.Lines) == 0 {
		fmt.Fprintf(streams.Out, "no line names request %s\n", id)
		return ExitFailed
	}
	fmt.Fprintf(streams.Out, "request %s:\n", id)
	for _, line := range story.Lines {
		fmt.Fprintln(streams.Out, "  "+line.String())
	}
	if len(story.Quarantine) > 0 {
		fmt.Fprintln(streams.Out, "other attempts at the same request, under which upstreams ended:")
	}
	for _, line := range story.Quarantine {
		fmt.Fprintln(streams.Out, "  "+line.String()+ofRequest(line))
	}
	fmt.Fprintln(streams.Out, "what changed around it:")
	for _, line := range story.Around {
		fmt.Fprintln(streams.Out, "  "+line.String())
	}
	return ExitOK
}
