// Command smoke runs the three instances of examples/three as processes, with
// stand-in upstreams of its own, and counts broken promises while one instance
// is drained, one is killed and the configuration is changed twice. It takes
// about half a minute and is no part of CI's verdict.
//
//	go build -o bin/lovagelift ./cmd/lovagelift
//	go run ./examples/smoke
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/lovagelift/lovagelift/internal/pause"
)

// longest bounds the whole run.
const longest = 110 * time.Second

func main() {
	options := deploymentOptions{
		program:      "bin/lovagelift",
		settings:     "examples/three",
		declarations: "examples/declarations/kingston",
		ports:        "76",
	}
	flaggy.SetName("smoke")
	flaggy.SetDescription("Counts broken promises of three instances while one is drained and one is killed.")
	flaggy.String(&options.program, "p", "program", "the lovagelift program")
	flaggy.String(&options.settings, "s", "settings", "folder with the settings of three instances")
	flaggy.String(&options.declarations, "d", "declarations", "folder of declarations to apply")
	flaggy.String(&options.ports, "", "ports", "first digits of the four-digit ports, instead of 76")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, longest)
	broken, err := run(ctx, options)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "smoke:", err)
		os.Exit(1)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// run returns the number of promises that were broken. If the run itself could
// not be made, run returns an error.
func run(ctx context.Context, options deploymentOptions) (int, error) {
	d, err := newDeployment(options)
	if err != nil {
		return 0, err
	}
	defer d.close()
	up, err := newUpstreams(ctx, d)
	if err != nil {
		return 0, err
	}
	defer up.close()
	t := &tally{}
	if err := d.found(ctx); err != nil {
		return 0, err
	}
	stopWatching := watchRevisions(ctx, d, t)
	stopCallers := startCallers(ctx, d, up, t)
	err = script(ctx, d, t)
	stopCallers()
	stopWatching()
	up.count(t)
	t.print(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the logs are kept in", d.folder)
		d.keep = true
	}
	return t.broken(), err
}

// settle is how long callers go on undisturbed between two steps.
const settle = 3 * time.Second

// script is what happens while callers keep sending.
func script(ctx context.Context, d *deployment, t *tally) error {
	steps := []struct {
		name  string
		after time.Duration
		do    func() error
	}{
		{"change the preset to peak", settle, func() error { return d.change(ctx, t, "peak") }},
		{"drain b", settle, func() error { return d.drain(ctx, "b") }},
		{"start b again", settle, func() error { return d.restart(ctx, "b") }},
		{"kill the leader", settle, func() error { return d.killLeader(ctx) }},
		{"change the preset to ordinary", 0, func() error { return d.change(ctx, t, "ordinary") }},
		{"start the killed one again", settle, func() error { return d.restart(ctx, d.killed) }},
	}
	for _, step := range steps {
		if !pause.For(ctx, step.after) {
			return ctx.Err()
		}
		began := time.Now()
		if err := step.do(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("%-32s %v\n", step.name, time.Since(began).Round(time.Millisecond))
	}
	pause.For(ctx, settle)
	return ctx.Err()
}
