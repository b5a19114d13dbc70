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
			return printError(streams, err)
		}
		status, err := client.Status(ctx)
		if err != nil {
			return printError(streams, err)
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

func printStatus(out io.Writer, status registrar.Status) {
	fmt.Fprintf(out, "instance %s in %s, version %s: %s\n", status.Name, status.FailureDomain, status.Version,
		strings.Join(instanceStates(status.Draining, !status.HasConfigLease), ", "))
	fmt.Fprintf(out, "revision %d, preset %s, leader %s in term %d, %d requests in progress\n",
		status.Revision, valueOrNone(status.Preset), valueOrNone(status.Leader), status.Term, status.ActiveRequests)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nINSTANCE\tADDRESS\tFAILURE DOMAIN\tVOTER\tSTATE\tREQUESTS\tLAST HEARD")
	for _, instance := range status.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%d\t%s ago\n", instance.Name, instance.CallerAddress, instance.FailureDomain, instance.Voter,
			strings.Join(instanceStates(instance.Draining, instance.Stale), ", "), instance.ActiveRequests, instance.SinceLastContact.Round(time.Millisecond))
	}
	fmt.Fprintln(table, "\nUPSTREAM\tKIND\tADDRESS\tFAILURE DOMAIN\tSTATE\tRUNNING\tWAITING\tHOLDS")
	for _, upstream := range status.Upstreams {
		state := "serving"
		if upstream.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", upstream.Name, upstream.Kind, upstream.Address, upstream.FailureDomain, state,
			upstream.Running, upstream.Waiting, valueOrNone(strings.Join(upstream.Serves, ", ")))
	}
	printPlacement(table, status.Engines)
	// A closed output is not a failure of the command.
	_ = table.Flush()
}

// printPlacement prints the memory accounting, orders and alarms of engines.
func printPlacement(out io.Writer, engines []registrar.EngineStatus) {
	if len(engines) == 0 {
		return
	}
	const mebibyte = 1 << 20
	fmt.Fprintln(out, "\nENGINE\tACCELERATOR\tMEMORY MiB\tRESIDENT\tRESERVED\tPOSSIBLE")
	for _, engine := range engines {
		for _, accelerator := range engine.Accelerators {
			fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\n", engine.Name, accelerator.Name, accelerator.Memory/mebibyte, accelerator.Resident/mebibyte,
				accelerator.Reserved/mebibyte, accelerator.Possible/mebibyte)
		}
	}
	fmt.Fprintln(out, "\nENGINE\tORDER\tKIND\tMODEL\tADAPTER\tWHY\tAT\tSTATE\tREASON")
	for _, engine := range engines {
		for _, order := range engine.Orders {
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", engine.Name, order.ID, order.Kind, order.Model+"@"+order.Version,
				valueOrNone(order.Adapter), order.PlacementReason, order.At.UTC().Format(time.RFC3339), order.State, valueOrNone(order.RefusalReason))
		}
	}
	for _, engine := range engines {
		for _, alarm := range engine.Alarms {
			fmt.Fprintf(out, "\nALARM: %s gets no orders: %s\n", engine.Name, alarm)
		}
	}
}

// instanceStates lists the reasons why an instance admits no new requests, or
// "serving" if there are none.
func instanceStates(draining, stale bool) []string {
	var states []string
	if draining {
		states = append(states, "draining")
	}
	if stale {
		states = append(states, "cannot confirm its configuration")
	}
	if len(states) == 0 {
		states = append(states, "serving")
	}
	return states
}

func valueOrNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
