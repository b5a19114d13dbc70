// Command smoke runs the three instances of examples/three as processes, with
// test doubles of upstreams, and counts violated guarantees while one instance
// is drained, one is killed and the configuration is changed twice. It takes
// about half a minute and does not affect the result of CI.
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

// runTimeout limits the whole run.
const runTimeout = 110 * time.Second

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
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	violations, err := run(ctx, options)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "smoke:", err)
		os.Exit(1)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// run returns the number of violated guarantees, or an error if the run could
// not be completed.
func run(ctx context.Context, options deploymentOptions) (int, error) {
	d, err := newDeployment(options)
	if err != nil {
		return 0, err
	}
	defer d.close()
	up, err := startUpstreams(ctx, d)
	if err != nil {
		return 0, err
	}
	defer up.close()
	t := &tally{}
	if err := d.bootstrap(ctx); err != nil {
		return 0, err
	}
	stopWatching := watchRevisions(ctx, d, t)
	stopCallers := startCallers(ctx, d, up, t)
	err = runScript(ctx, d, t)
	stopCallers()
	stopWatching()
	up.recordViolations(t)
	t.print(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the logs are kept in", d.folder)
		d.keepFolder = true
	}
	return t.violations(), err
}

// settleTime is the time between two steps, during which only the clients are
// active.
const settleTime = 3 * time.Second

// runScript performs the steps of the test while the clients keep sending.
func runScript(ctx context.Context, d *deployment, t *tally) error {
	steps := []struct {
		name  string
		after time.Duration
		do    func() error
	}{
		{"change the preset to peak", settleTime, func() error { return d.changePreset(ctx, t, "peak") }},
		{"drain b", settleTime, func() error { return d.drain(ctx, "b") }},
		{"start b again", settleTime, func() error { return d.restart(ctx, "b") }},
		{"kill the leader", settleTime, func() error { return d.killLeader(ctx) }},
		{"change the preset to ordinary", 0, func() error { return d.changePreset(ctx, t, "ordinary") }},
		{"start the killed one again", settleTime, func() error { return d.restart(ctx, d.killedInstance) }},
	}
	for _, step := range steps {
		if !pause.For(ctx, step.after) {
			return ctx.Err()
		}
		startedAt := time.Now()
		if err := step.do(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("%-32s %v\n", step.name, time.Since(startedAt).Round(time.Millisecond))
	}
	pause.For(ctx, settleTime)
	return ctx.Err()
}
