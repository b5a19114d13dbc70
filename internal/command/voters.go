package command

import (
	"context"
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/salvage"
)

func newVoters() command {
	var operator operatorFlags
	var change registrar.VotersChange
	bootstrap := false
	statePath := ""
	flags := newSubcommand("voters", "shows the voters, founds their cluster, or replaces one",
		"lovagelift voters --bootstrap")
	operator.addTo(flags)
	flags.Bool(&bootstrap, "", "bootstrap", "found the cluster, once, when all voters are started for the first time")
	flags.String(&statePath, "", "from", "with --bootstrap: file that export wrote, to begin with that state")
	flags.String(&change.Add, "", "add", "identity that is waiting and shall count")
	flags.String(&change.Remove, "", "remove", "identity that shall not count any more")
	run := func(ctx context.Context, streams Streams) int {
		return voters(ctx, &operator, bootstrap, statePath, change, streams)
	}
	return command{flags: flags, run: run}
}

func voters(
	ctx context.Context, operator *operatorFlags, bootstrap bool, statePath string, change registrar.VotersChange, streams Streams,
) int {
	if countTrue(bootstrap, change.Add != "", change.Remove != "") > 1 {
		var findings finding.List
		findings.Add(flagPlace("bootstrap"), "voters does one thing at a time", "give one of --bootstrap, --add and --remove")
		return printError(streams, findings.Err())
	}
	origin, err := readOrigin(statePath, bootstrap)
	if err != nil {
		return printError(streams, err)
	}
	client, err := operator.client()
	if err != nil {
		return printError(streams, err)
	}
	var current registrar.Voters
	switch {
	case bootstrap:
		current, err = client.Bootstrap(ctx, origin)
	case change != registrar.VotersChange{}:
		current, err = client.ChangeVoters(ctx, change)
	default:
		current, err = client.Voters(ctx)
	}
	if err != nil {
		return printError(streams, err)
	}
	printVoters(operator, current, streams)
	return ExitOK
}

// readOrigin returns the state in a file written by export, or the zero value if
// path is empty.
func readOrigin(path string, bootstrap bool) (registrar.Origin, error) {
	if path == "" {
		return registrar.Origin{}, nil
	}
	if !bootstrap {
		var findings finding.List
		findings.Add(flagPlace("from"), "a state is only for a bootstrap", "give --bootstrap as well")
		return registrar.Origin{}, findings.Err()
	}
	state, err := salvage.Load(path)
	if err != nil {
		return registrar.Origin{}, err
	}
	return registrar.Origin{Index: uint64(state.Index), Term: uint64(state.Term), Data: state.Data}, nil
}

func printVoters(operator *operatorFlags, current registrar.Voters, streams Streams) {
	if operator.asJSON {
		writeJSON(streams.Out, current)
		return
	}
	fmt.Fprintf(streams.Out, "cluster %s, leader %s, term %d\n", current.Cluster, current.Leader, current.Term)
	for _, identity := range current.Voters {
		fmt.Fprintf(streams.Out, "voter    %s\n", identity)
	}
	for _, identity := range current.NonVoting {
		fmt.Fprintf(streams.Out, "waiting  %s\n", identity)
	}
}

func countTrue(conditions ...bool) int {
	count := 0
	for _, condition := range conditions {
		if condition {
			count++
		}
	}
	return count
}
