package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/pause"
)

func TestFor(t *testing.T) {
	if !pause.For(context.Background(), time.Nanosecond) {
		t.Error("the time passed, want true")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if pause.For(ended, time.Hour) {
		t.Error("the context had ended, want false")
	}
}
