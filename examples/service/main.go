// Command service runs a test double of a plain service that announces itself
// to an instance, for trying out the system on one machine.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/lovagelift/lovagelift/examples/internal/upstream"
	"github.com/lovagelift/lovagelift/internal/standin"
)

func main() {
	listen := "127.0.0.1:7801"
	options := standin.ServiceOptions{Name: "service-1", FailureDomain: "local"}

	flaggy.SetName("service")
	flaggy.SetDescription("A stand-in plain service that answers with the request's own body.")
	flaggy.String(&listen, "l", "listen", "IP:port to serve on, which is announced")
	flaggy.String(&options.Name, "n", "name", "name, unique among upstreams")
	flaggy.String(&options.FailureDomain, "d", "failure-domain", "declared failure domain")
	flaggy.StringSlice(&options.Announce.To, "a", "announce-to", "IP:port of an instance's upstream listener; repeatable")
	flaggy.String(&options.Announce.Token, "t", "token", "bearer token for announcements")
	flaggy.StringSlice(&options.Services, "s", "services", "plain service it answers for; repeatable")
	flaggy.Duration(&options.Delay, "", "delay", "time before each answer")
	flaggy.Parse()

	err := upstream.Serve(context.Background(), listen, func(address string) upstream.Upstream {
		options.Address = address
		return standin.NewService(options)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
