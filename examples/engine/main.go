// Command engine runs a test double of a model engine that announces itself to
// an instance, for trying out the system on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/lovagelift/lovagelift/examples/internal/upstream"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const gibibyte = 1 << 30

func main() {
	listen := "127.0.0.1:7701"
	options := standin.EngineOptions{
		Name:            "engine-1",
		FailureDomain:   "local",
		FirstTokenDelay: 50 * time.Millisecond,
		TokenDelay:      20 * time.Millisecond,
		MaxRunning:      32,
		LoadDelay:       2 * time.Second,
		CachedPrefixes:  1024,
	}
	models := []string{}
	memoryGiB := int64(80)
	modelGiB := int64(8)
	checkFencing := false

	flaggy.SetName("engine")
	flaggy.SetDescription("A stand-in model engine that answers with the words of the last message.")
	flaggy.String(&listen, "l", "listen", "IP:port to serve on, which is announced")
	flaggy.String(&options.Name, "n", "name", "name, unique among upstreams")
	flaggy.String(&options.FailureDomain, "d", "failure-domain", "declared failure domain")
	flaggy.StringSlice(&options.Announce.To, "a", "announce-to", "IP:port of an instance's upstream listener; repeatable")
	flaggy.String(&options.Announce.Token, "t", "token", "bearer token for announcements")
	flaggy.StringSlice(&models, "m", "models", "model loaded from the start; repeatable")
	flaggy.Int64(&memoryGiB, "", "memory-gib", "memory of its one accelerator, in GiB")
	flaggy.Int64(&modelGiB, "", "model-gib", "memory of each model of --models, in GiB")
	flaggy.Duration(&options.FirstTokenDelay, "", "first-token-delay", "time before the first token")
	flaggy.Duration(&options.TokenDelay, "", "token-delay", "time before each further token")
	flaggy.Int(&options.MaxRunning, "", "max-running", "most requests that run at once, 0 for no limit")
	flaggy.Duration(&options.ResumeWindow, "", "resume-window", "how long an answer goes on without a connection")
	flaggy.Duration(&options.LoadDelay, "", "load-delay", "how long a load takes")
	flaggy.String(&options.OrderToken, "", "order-token", "bearer token that orders must carry")
	flaggy.Bool(&checkFencing, "", "check-fencing", "refuse orders that carry an old fencing number")
	flaggy.Parse()

	options.Fencing = upstreamapi.FencingIgnored
	if checkFencing {
		options.Fencing = upstreamapi.FencingChecked
	}
	options.Accelerators = []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: memoryGiB * gibibyte}}
	for _, model := range models {
		options.Resident = append(options.Resident, upstreamapi.Resident{
			Model:        model,
			Accelerators: []string{"a0"},
			MemoryBytes:  modelGiB * gibibyte,
		})
	}
	err := upstream.Serve(context.Background(), listen, func(address string) upstream.Upstream {
		options.Address = address
		return standin.NewEngine(options)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
