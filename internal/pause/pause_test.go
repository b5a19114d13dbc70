package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/pause"
)

func TestFor(t *testing.T) {
	if !pause.For(context.Background(), time.Nanosecond) {
		t.Error("For returned false after the time passed, want true")
	}
	canceledContext, cancel := context.WithCancel(context.Background())
	cancel()
	if pause.For(canceledContext, time.Hour) {
		t.Error("For returned true with a canceled context, want false")
	}
}
