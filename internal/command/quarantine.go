package command

import (
	"context"
	"fmt"
	"time"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

func newQuarantine() command {
	var operator operatorFlags
	var lift []string
	flags := newSubcommand("quarantine", "shows the requests that are not sent on since upstreams crash on them, or lifts some",
		"lovagelift quarantine --lift 5f0c…")
	operator.addTo(flags)
	flags.StringSlice(&lift, "", "lift", "digest of a request that shall be sent again; repeatable")
	run := func(ctx context.Context, streams Streams) int {
		return showQuarantine(ctx, &operator, lift, streams)
	}
	return command{flags: flags, run: run}
}

func showQuarantine(ctx context.Context, operator *operatorFlags, lift []string, streams Streams) int {
	digests, err := parseDigests(lift)
	if err != nil {
		return printError(streams, err)
	}
	client, err := operator.client()
	if err != nil {
		return printError(streams, err)
	}
	var listings []quarantine.Listing
	if len(digests) > 0 {
		listings, err = client.Lift(ctx, digests)
	} else {
		listings, err = client.Quarantined(ctx)
	}
	if err != nil {
		return printError(streams, err)
	}
	if operator.asJSON {
		writeJSON(streams.Out, listings)
		return ExitOK
	}
	printQuarantine(listings, streams)
	return ExitOK
}

func parseDigests(texts []string) ([]quarantine.Digest, error) {
	var findings finding.List
	digests := make([]quarantine.Digest, len(texts))
	for i, text := range texts {
		if err := digests[i].UnmarshalText([]byte(text)); err != nil {
			findings.Add(flagPlace("lift"), err.Error(), "copy it from the output of quarantine")
		}
	}
	return digests, findings.Err()
}

// describeParts returns what a listing says of parts of prompts, and nothing for a request.
func describeParts(listing quarantine.Listing) string {
	if !listing.Part {
		return ""
	}
	text := " (part of prompts"
	for _, part := range listing.With {
		text += ", with " + part.String()
	}
	return text + ")"
}

func printQuarantine(listings []quarantine.Listing, streams Streams) {
	if len(listings) == 0 {
		fmt.Fprintln(streams.Out, "no request is in quarantine or suspected")
		return
	}
	for _, request := range listings {
		fmt.Fprintf(streams.Out, "%s %s%s\n", request.State, request.Digest, describeParts(request))
		for _, crash := range request.Crashes {
			fmt.Fprintf(streams.Out, "  %s upstream %s ended under request %s\n",
				crash.At.UTC().Format(time.RFC3339), crash.Upstream, crash.Request)
		}
	}
}
