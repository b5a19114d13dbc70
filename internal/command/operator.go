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
	// operatorTimeout exceeds the 4 s within which a change becomes active.
	operatorTimeout = 10 * time.Second
	// unsetRevision is the default of --expect, which means that the flag is missing.
	unsetRevision = -1
)

// operatorFlags are the flags shared by all commands that use the admin API.
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

// client returns the client configured by the flags. If flags are invalid, it
// returns all findings.
func (f *operatorFlags) client() (*registrar.Client, error) {
	var findings finding.List
	options := registrar.ClientOptions{
		Addresses:  f.parseAddresses(&findings),
		Token:      f.readToken(&findings),
		TLS:        readCA(f.caFile, &findings),
		AllowPlain: f.allowPlain,
		Timeout:    f.timeout,
	}
	if f.timeout <= 0 {
		findings.Add(flagPlace("timeout"), fmt.Sprintf("%s is no time to wait", f.timeout), "write for example 10s")
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return registrar.NewClient(options)
}

// activeConfig returns the client configured by the flags, and the active
// configuration as known to the first instance that responds.
func (f *operatorFlags) activeConfig(ctx context.Context) (*registrar.Client, registrar.ActiveConfig, error) {
	client, err := f.client()
	if err != nil {
		return nil, registrar.ActiveConfig{}, err
	}
	config, err := client.ActiveConfig(ctx)
	return client, config, err
}

// flagPlace returns the place of findings about a flag.
func flagPlace(name string) finding.Place {
	return finding.Place{File: "--" + name}
}

func (f *operatorFlags) parseAddresses(findings *finding.List) []netip.AddrPort {
	texts := f.addresses
	if len(texts) == 0 {
		texts = []string{defaultOperatorAddress}
	}
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			findings.Add(flagPlace("operator-address"), fmt.Sprintf("%q is no IP number and port", text), "write for example "+defaultOperatorAddress)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (f *operatorFlags) readToken(findings *finding.List) string {
	if f.tokenFile == "" {
		return ""
	}
	data, err := os.ReadFile(f.tokenFile)
	if err != nil {
		findings.Add(flagPlace("token-file"), err.Error(), "")
		return ""
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		findings.Add(flagPlace("token-file"), f.tokenFile+" is empty", "write the token into it")
	}
	return token
}

// readCA returns the TLS configuration for connections to instances, or nil if
// caFile is empty.
func readCA(caFile string, findings *finding.List) *tls.Config {
	if caFile == "" {
		return nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		findings.Add(flagPlace("ca"), err.Error(), "")
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		findings.Add(flagPlace("ca"), caFile+" holds no certificate", "give a file in PEM")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

// printError prints err with advice for the operator, and returns its exit code.
func printError(streams Streams, err error) int {
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
