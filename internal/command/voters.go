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
	from := ""
	flags := newSubcommand("voters", "shows the voters, founds their cluster, or replaces one",
		"lovagelift voters --bootstrap")
	operator.addTo(flags)
	flags.Bool(&bootstrap, "", "bootstrap", "found the cluster, once, when all voters are started for the first time")
	flags.String(&from, "", "from", "with --bootstrap: file that export wrote, to begin with that state")
	flags.String(&change.Add, "", "add", "identity that is waiting and shall count")
	flags.String(&change.Remove, "", "remove", "identity that shall not count any more")
	run := func(ctx context.Context, streams Streams) int {
		return voters(ctx, &operator, bootstrap, from, change, streams)
	}
	return command{flags: flags, run: run}
}

func voters(
	ctx context.Context, operator *operatorFlags, bootstrap bool, from string, change registrar.VotersChange, streams Streams,
) int {
	if countTrue(bootstrap, change.Add != "", change.Remove != "") > 1 {
		var list finding.List
		list.Add(flagPlace("bootstrap"), "voters does one thing at a time", "give one of --bootstrap, --add and --remove")
		return fail(streams, list.Err())
	}
	origin, err := originOf(from, bootstrap)
	if err != nil {
		return fail(streams, err)
	}
	client, err := operator.client()
	if err != nil {
		return fail(streams, err)
	}
	var set registrar.Voters
	switch {
	case bootstrap:
		set, err = client.Bootstrap(ctx, origin)
	case change != registrar.VotersChange{}:
		set, err = client.ChangeVoters(ctx, change)
	default:
		set, err = client.Voters(ctx)
	}
	if err != nil {
		return fail(streams, err)
	}
	printVoters(operator, set, streams)
	return ExitOK
}

// originOf returns the state in the file that export wrote, or the zero value if
// none is named.
func originOf(path string, bootstrap bool) (registrar.Origin, error) {
	if path == "" {
		return registrar.Origin{}, nil
	}
	if !bootstrap {
		var list finding.List
		list.Add(flagPlace("from"), "a state is only for a bootstrap", "give --bootstrap as well")
		return registrar.Origin{}, list.Err()
	}
	state, err := salvage.Load(path)
	if err != nil {
		return registrar.Origin{}, err
	}
	return registrar.Origin{Index: uint64(state.Index), Term: uint64(state.Term), Data: state.Data}, nil
}

func printVoters(operator *operatorFlags, set registrar.Voters, streams Streams) {
	if operator.asJSON {
		writeJSON(streams.Out, set)
		return
	}
	fmt.Fprintf(streams.Out, "cluster %s, leader %s, term %d\n", set.Cluster, set.Leader, set.Term)
	for _, identity := range set.Voters {
		fmt.Fprintf(streams.Out, "voter    %s\n", identity)
	}
	for _, identity := range set.Waiting {
		fmt.Fprintf(streams.Out, "waiting  %s\n", identity)
	}
}

func countTrue(conditions ...bool) int {
	n := 0
	for _, condition := range conditions {
		if condition {
			n++
		}
	}
	return n
}
