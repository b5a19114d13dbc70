package lovagelift_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// TestAsk starts the example instance and sends requests to it through a Caller.
func TestAsk(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	address := freeAddress(t)
	serveErr := make(chan error, 1)
	serveCtx, stopServing := context.WithCancel(ctx)
	go func() {
		serveErr <- lovagelift.Serve(serveCtx, lovagelift.ServeOptions{Example: true, CallerAddress: address, Log: io.Discard})
	}()
	caller := lovagelift.NewCaller(lovagelift.CallerOptions{Instances: []string{address}})
	var answer string
	var err error
	for ctx.Err() == nil {
		if answer, err = caller.Ask(ctx, "example-model", "where is the shuttle", nil); err == nil {
			break
		}
	}
	if answer != "where is the shuttle" {
		t.Fatalf("got %q and %v", answer, err)
	}
	_, err = caller.Ask(ctx, "no-such-model", "x", nil)
	var failure *lovagelift.Error
	if !errors.As(err, &failure) || failure.Outcome != lovagelift.OutcomeNotRun || failure.Code != "unknown-model" {
		t.Fatalf("got %v, want not-run", err)
	}
	stopServing()
	if err := <-serveErr; err != nil {
		t.Fatal(err)
	}
}

func freeAddress(t *testing.T) string {
	listener, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func ExampleCaller_Ask() {
	caller := lovagelift.NewCaller(lovagelift.CallerOptions{Instances: []string{"127.0.0.1:7600"}})
	answer, err := caller.Ask(context.Background(), "example-model", "Where is the shuttle?", nil)
	fmt.Println(answer, err)
}
