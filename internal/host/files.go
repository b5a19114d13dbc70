package host

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/badge"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/seal"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// files is what stands in the files that settings name. Each is nil if the
// settings name none.
type files struct {
	operatorTokens *badge.Book
	upstreamTokens *badge.Book
	callers        *seal.Seal
	upstreams      *seal.Seal
	operators      *seal.Seal
	inner          *seal.Seal
}

// openFiles reads all files that the settings name. If any are wrong, openFiles
// returns a *finding.Error with every finding.
func openFiles(set settings.Settings, log zerolog.Logger) (files, error) {
	o := opener{now: time.Now, log: log, seals: map[settings.KeyPair]*seal.Seal{}}
	opened := files{
		operatorTokens: o.book(set.Tokens.OperatorsFile),
		upstreamTokens: o.book(set.Tokens.UpstreamsFile),
		callers:        o.seal(set.TLS.Callers),
		upstreams:      o.seal(set.TLS.Upstreams),
		operators:      o.seal(set.TLS.Operators),
		inner:          o.seal(set.TLS.Inner),
	}
	return opened, o.list.Err()
}

// opener gathers what is wrong with files.
type opener struct {
	now  func() time.Time
	log  zerolog.Logger
	list finding.List
	// seals keeps those that were opened, nil for files that are wrong, since
	// several listeners may use the same.
	seals map[settings.KeyPair]*seal.Seal
}

func (o *opener) add(path string, err error) {
	var found *finding.Error
	if !errors.As(err, &found) {
		o.list.Add(finding.Place{File: path}, err.Error(), "")
		return
	}
	for _, f := range found.Findings {
		o.list.Add(f.Place, f.Problem, f.Advice)
	}
}

func (o *opener) book(path string) *badge.Book {
	if path == "" {
		return nil
	}
	read, err := badge.Load(path)
	if err != nil {
		o.add(path, err)
		return nil
	}
	return &read
}

func (o *opener) seal(pair settings.KeyPair) *seal.Seal {
	if !pair.IsSet() {
		return nil
	}
	if opened, known := o.seals[pair]; known {
		return opened
	}
	opened, err := seal.New(seal.Options{
		Files: pair,
		Now:   o.now,
		Failed: func(err error) {
			o.log.Error().Err(err).Msg("replaced tls files cannot be used, the ones before stay in use")
		},
	})
	if err != nil {
		o.add(pair.CertFile, err)
	}
	o.seals[pair] = opened
	return opened
}

// secured returns listener with TLS, or as it is if sealed is nil.
func secured(listener net.Listener, sealed *seal.Seal) net.Listener {
	if sealed == nil {
		return listener
	}
	return tls.NewListener(listener, sealed.Server())
}

// dialer returns how to connect to other instances: nil, for plain TCP, if sealed
// is nil.
func dialer(sealed *seal.Seal) courier.Dial {
	if sealed == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := tls.Dialer{Config: sealed.Client()}
		connection, err := dialer.DialContext(ctx, "tcp", address)
		return connection, errors.Wrapf(err, "host: connecting to %s", address)
	}
}
