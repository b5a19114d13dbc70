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

// TestAsk starts the example and asks it as a newcomer's program would.
func TestAsk(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	address := freeAddress(t)
	ended := make(chan error, 1)
	serving, end := context.WithCancel(ctx)
	go func() {
		ended <- lovagelift.Serve(serving, lovagelift.ServeOptions{Example: true, CallerAddress: address, Log: io.Discard})
	}()
	asking := lovagelift.NewCaller(lovagelift.CallerOptions{Instances: []string{address}})
	var answer string
	var err error
	for ctx.Err() == nil {
		if answer, err = asking.Ask(ctx, "example-model", "where is the shuttle", nil); err == nil {
			break
		}
	}
	if answer != "where is the shuttle" {
		t.Fatalf("got %q and %v", answer, err)
	}
	_, err = asking.Ask(ctx, "no-such-model", "x", nil)
	var failure *lovagelift.Error
	if !errors.As(err, &failure) || failure.Outcome != lovagelift.OutcomeNotRun || failure.Code != "unknown-model" {
		t.Fatalf("got %v, want not-run", err)
	}
	end()
	if err := <-ended; err != nil {
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
	asking := lovagelift.NewCaller(lovagelift.CallerOptions{Instances: []string{"127.0.0.1:7600"}})
	answer, err := asking.Ask(context.Background(), "example-model", "Where is the shuttle?", nil)
	fmt.Println(answer, err)
}
