// Package command is the command-line interface of lovagelift, with one file for
// each command.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// The exit codes of all commands. docs/operators/commands.md lists them.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitBadInput means that the input is invalid and nothing was changed.
	ExitBadInput = 2
	// ExitUnknown means that the command may or may not have taken effect.
	ExitUnknown = 3
	// ExitConflict means that the change was rejected because another one was
	// accepted first.
	ExitConflict = 4
)

// Version is the program version, which release builds set.
var Version = "development"

// Streams are the standard streams that a command writes to.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// command is a subcommand: its flags and its implementation.
type command struct {
	flags *flaggy.Subcommand
	run   func(ctx context.Context, streams Streams) int
}

// Run runs the command given by args, which exclude the program name, and returns
// its exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	parser := flaggy.NewParser("lovagelift")
	parser.Description = "serves many models on fewer accelerators"
	parser.Version = Version
	// Only the version command prints the version.
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
		newKey(),
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
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	subcommand.AdditionalHelpAppend = "\nExample:\n  " + example
	return subcommand
}
