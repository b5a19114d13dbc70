package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

func newStatus() command {
	var operator operatorFlags
	flags := newSubcommand("status", "shows the state of an instance and what it knows of the others and of upstreams",
		"lovagelift status --operator-address 127.0.0.1:7612 --token-file kim.token")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		client, err := operator.client()
		if err != nil {
			return fail(streams, err)
		}
		status, err := client.Status(ctx)
		if err != nil {
			return fail(streams, err)
		}
		if operator.asJSON {
			writeJSON(streams.Out, status)
			return ExitOK
		}
		printStatus(streams.Out, status)
		return ExitOK
	}
	return command{flags: flags, run: run}
}

func printStatus(to io.Writer, s registrar.Status) {
	fmt.Fprintf(to, "instance %s in %s, version %s: %s\n", s.Name, s.FailureDomain, s.Version,
		strings.Join(stateWords(s.Draining, !s.Fresh), ", "))
	fmt.Fprintf(to, "revision %d, preset %s, leader %s in term %d, %d requests in progress\n",
		s.Revision, orNone(s.Preset), orNone(s.Leader), s.Term, s.Streams)
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nINSTANCE\tADDRESS\tFAILURE DOMAIN\tVOTER\tSTATE\tREQUESTS\tLAST HEARD")
	for _, i := range s.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%d\t%s ago\n", i.Name, i.CallerAddress, i.FailureDomain, i.Voter,
			strings.Join(stateWords(i.Draining, i.Stale), ", "), i.Streams, i.Silent.Round(time.Millisecond))
	}
	fmt.Fprintln(table, "\nUPSTREAM\tKIND\tADDRESS\tFAILURE DOMAIN\tSTATE\tRUNNING\tWAITING\tHOLDS")
	for _, u := range s.Upstreams {
		state := "serving"
		if u.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", u.Name, u.Kind, u.Address, u.FailureDomain, state,
			u.Running, u.Waiting, orNone(strings.Join(u.Holds, ", ")))
	}
	printPlacement(table, s.Engines)
	// A reader that went away is no failure of the command.
	_ = table.Flush()
}

// printPlacement prints the accounts of engines, their orders, and alarms.
func printPlacement(table io.Writer, engines []registrar.EngineStatus) {
	if len(engines) == 0 {
		return
	}
	const mebibyte = 1 << 20
	fmt.Fprintln(table, "\nENGINE\tACCELERATOR\tMEMORY MiB\tRESIDENT\tRESERVED\tPOSSIBLE")
	for _, e := range engines {
		for _, a := range e.Accelerators {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n", e.Name, a.Name, a.Memory/mebibyte, a.Resident/mebibyte,
				a.Reserved/mebibyte, a.Possible/mebibyte)
		}
	}
	fmt.Fprintln(table, "\nENGINE\tORDER\tKIND\tMODEL\tADAPTER\tWHY\tAT\tSTATE\tREASON")
	for _, e := range engines {
		for _, o := range e.Orders {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Name, o.ID, o.Kind, o.Model+"@"+o.Version,
				orNone(o.Adapter), o.Why, o.At.UTC().Format(time.RFC3339), o.State, orNone(o.Reason))
		}
	}
	for _, e := range engines {
		for _, alarm := range e.Alarms {
			fmt.Fprintf(table, "\nALARM: %s gets no orders: %s\n", e.Name, alarm)
		}
	}
}

// stateWords says what keeps an instance from taking new work.
func stateWords(draining, stale bool) []string {
	var words []string
	if draining {
		words = append(words, "draining")
	}
	if stale {
		words = append(words, "cannot confirm its configuration")
	}
	if len(words) == 0 {
		words = append(words, "serving")
	}
	return words
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
