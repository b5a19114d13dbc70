package host

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/seal"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// seals puts TLS on listeners and connections whose settings name files.
type seals struct {
	now func() time.Time
	log zerolog.Logger
}

func (s seals) open(files settings.KeyPair) (*seal.Seal, error) {
	return seal.New(seal.Options{
		Files: files,
		Now:   s.now,
		Failed: func(err error) {
			s.log.Error().Err(err).Msg("replaced tls files cannot be used, the ones before stay in use")
		},
	})
}

// listen listens on address, with TLS if files are set.
func (s seals) listen(ctx context.Context, address string, files settings.KeyPair) (net.Listener, error) {
	if !files.IsSet() {
		return listen(ctx, address)
	}
	opened, err := s.open(files)
	if err != nil {
		return nil, err
	}
	listener, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(listener, opened.Server()), nil
}

// dial returns how to connect to other instances: nil, for plain TCP, if files
// are not set.
func (s seals) dial(files settings.KeyPair) (courier.Dial, error) {
	if !files.IsSet() {
		return nil, nil
	}
	opened, err := s.open(files)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := tls.Dialer{Config: opened.Client()}
		connection, err := dialer.DialContext(ctx, "tcp", address)
		return connection, errors.Wrapf(err, "host: connecting to %s", address)
	}, nil
}
