package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

const (
	defaultOperatorAddress = "127.0.0.1:7602"
	// operatorTimeout is above the 4 s within which a change is in force.
	operatorTimeout = 10 * time.Second
	// noRevision is the value of --expect when it is not given.
	noRevision = -1
)

// operatorFlags are the flags of every command that asks instances on an
// operator's behalf.
type operatorFlags struct {
	addresses  []string
	tokenFile  string
	caFile     string
	allowPlain bool
	timeout    time.Duration
	asJSON     bool
}

// addTo adds the flags to a command.
func (f *operatorFlags) addTo(flags *flaggy.Subcommand) {
	f.timeout = operatorTimeout
	flags.StringSlice(&f.addresses, "o", "operator-address",
		"IP:port of an instance for operators; repeatable, the next is asked when one does not answer; "+defaultOperatorAddress+" if none is given")
	flags.String(&f.tokenFile, "t", "token-file", "file that holds the operator's token; not needed where the settings name no tokens")
	flags.String(&f.caFile, "", "ca", "file with the certificates that verify the instances; turns TLS on")
	flags.Bool(&f.allowPlain, "", "allow-plain", "send the token beyond loopback without TLS")
	flags.Duration(&f.timeout, "", "timeout", "longest time for one instance's answer, with its unit")
	flags.Bool(&f.asJSON, "", "json", "write the result as JSON")
}

// client returns the client that the flags describe, or everything that is
// wrong with them.
func (f *operatorFlags) client() (*registrar.Client, error) {
	var list finding.List
	options := registrar.ClientOptions{
		Addresses:  f.parseAddresses(&list),
		Token:      f.readToken(&list),
		TLS:        readCA(f.caFile, &list),
		AllowPlain: f.allowPlain,
		Timeout:    f.timeout,
	}
	if f.timeout <= 0 {
		list.Add(flagPlace("timeout"), fmt.Sprintf("%s is no time to wait", f.timeout), "write for example 10s")
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return registrar.NewClient(options)
}

// inForce returns the client that the flags describe and what is in force, as far
// as the first instance that answers knows.
func (f *operatorFlags) inForce(ctx context.Context) (*registrar.Client, registrar.ActiveConfig, error) {
	client, err := f.client()
	if err != nil {
		return nil, registrar.ActiveConfig{}, err
	}
	inForce, err := client.InForce(ctx)
	return client, inForce, err
}

// flagPlace is the place of findings about a flag.
func flagPlace(name string) finding.Place {
	return finding.Place{File: "--" + name}
}

func (f *operatorFlags) parseAddresses(list *finding.List) []netip.AddrPort {
	texts := f.addresses
	if len(texts) == 0 {
		texts = []string{defaultOperatorAddress}
	}
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			list.Add(flagPlace("operator-address"), fmt.Sprintf("%q is no IP number and port", text), "write for example "+defaultOperatorAddress)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (f *operatorFlags) readToken(list *finding.List) string {
	if f.tokenFile == "" {
		return ""
	}
	data, err := os.ReadFile(f.tokenFile)
	if err != nil {
		list.Add(flagPlace("token-file"), err.Error(), "")
		return ""
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		list.Add(flagPlace("token-file"), f.tokenFile+" is empty", "write the token into it")
	}
	return token
}

// readCA returns the TLS to use towards instances, or nil if no file is named.
func readCA(caFile string, list *finding.List) *tls.Config {
	if caFile == "" {
		return nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		list.Add(flagPlace("ca"), err.Error(), "")
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		list.Add(flagPlace("ca"), caFile+" holds no certificate", "give a file in PEM")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

// fail writes err and returns the exit code that says what became of it.
func fail(streams Streams, err error) int {
	fmt.Fprintln(streams.Err, err)
	switch {
	case errors.HasType(err, (*registrar.UnknownError)(nil)):
		fmt.Fprintln(streams.Err, "run the same command again: it tells, and changes nothing twice")
		return ExitUnknown
	case errors.HasType(err, (*registrar.ConflictError)(nil)):
		fmt.Fprintln(streams.Err, "run plan to see what differs now, then try again with the revision that it shows")
		return ExitConflict
	case errors.HasType(err, (*finding.Error)(nil)), errors.HasType(err, (*registrar.RefusedError)(nil)):
		return ExitBadInput
	default:
		return ExitFailed
	}
}
