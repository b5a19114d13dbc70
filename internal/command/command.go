// Package command is the command line of lovagelift, one file for each command.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// The exit codes of all commands. docs/operators/commands.md lists them.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailed means that it was tried and failed.
	ExitFailed = 1
	// ExitBadInput means that the input is wrong and nothing was changed.
	ExitBadInput = 2
	// ExitUnknown means that it may or may not have been done.
	ExitUnknown = 3
	// ExitConflict means that another change was accepted first, and this one
	// was not.
	ExitConflict = 4
)

// Version is set when a release is built.
var Version = "development"

// Streams are where a command reads and writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// command is one command: its flags and what it does.
type command struct {
	flags *flaggy.Subcommand
	run   func(ctx context.Context, streams Streams) int
}

// Run runs the command that args name, without the program's own name, and
// returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	parser := flaggy.NewParser("lovagelift")
	parser.Description = "serves many models on fewer accelerators"
	parser.Version = Version
	// The version command is the one place that prints it.
	parser.DisableShowVersionWithVersion()
	commands := []command{
		newServe(),
		newProvider(),
		newAsk(),
		newCheck(),
		newPlan(),
		newApply(),
		newPreset(),
		newStatus(),
		newDrain(),
		newVoters(),
		newQuarantine(),
		newExport(),
		newExplain(),
		newVersion(),
	}
	for _, command := range commands {
		parser.AttachSubcommand(command.flags, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(streams.Err, err)
		return ExitBadInput
	}
	for _, command := range commands {
		if command.flags.Used {
			return command.run(ctx, streams)
		}
	}
	parser.ShowHelp()
	return ExitBadInput
}

func newSubcommand(name, description, example string) *flaggy.Subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	flags.AdditionalHelpAppend = "\nExample:\n  " + example
	return flags
}
