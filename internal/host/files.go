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

// settingsFiles is the contents of the files that the settings refer to. A field is
// nil if the settings don't set its file.
type settingsFiles struct {
	operatorTokens *badge.Tokens
	upstreamTokens *badge.Tokens
	callerTLS      *seal.Reloader
	upstreamTLS    *seal.Reloader
	operatorTLS    *seal.Reloader
	innerTLS       *seal.Reloader
}

// loadFiles loads all files that the settings refer to. If any are invalid,
// loadFiles returns a *finding.Error with the findings of all files.
func loadFiles(configured settings.Settings, log zerolog.Logger) (settingsFiles, error) {
	loader := fileLoader{now: time.Now, log: log, tlsFiles: map[settings.KeyPair]*seal.Reloader{}}
	loaded := settingsFiles{
		operatorTokens: loader.loadTokens(configured.Tokens.OperatorsFile),
		upstreamTokens: loader.loadTokens(configured.Tokens.UpstreamsFile),
		callerTLS:      loader.loadTLS(configured.TLS.Callers),
		upstreamTLS:    loader.loadTLS(configured.TLS.Upstreams),
		operatorTLS:    loader.loadTLS(configured.TLS.Operators),
		innerTLS:       loader.loadTLS(configured.TLS.Inner),
	}
	return loaded, loader.findings.Err()
}

// fileLoader loads files and collects the findings about them.
type fileLoader struct {
	now      func() time.Time
	log      zerolog.Logger
	findings finding.List
	// tlsFiles caches loaded files, because several listeners may use the same. The
	// value is nil if the files are invalid.
	tlsFiles map[settings.KeyPair]*seal.Reloader
}

func (l *fileLoader) addError(path string, err error) {
	var findingErr *finding.Error
	if !errors.As(err, &findingErr) {
		l.findings.Add(finding.Place{File: path}, err.Error(), "")
		return
	}
	for _, f := range findingErr.Findings {
		l.findings.Add(f.Place, f.Problem, f.Advice)
	}
}

func (l *fileLoader) loadTokens(path string) *badge.Tokens {
	if path == "" {
		return nil
	}
	read, err := badge.Load(path)
	if err != nil {
		l.addError(path, err)
		return nil
	}
	return &read
}

func (l *fileLoader) loadTLS(pair settings.KeyPair) *seal.Reloader {
	if !pair.IsSet() {
		return nil
	}
	if loaded, known := l.tlsFiles[pair]; known {
		return loaded
	}
	loaded, err := seal.New(seal.Options{
		Files: pair,
		Now:   l.now,
		OnError: func(err error) {
			l.log.Error().Err(err).Msg("replaced TLS files are invalid; continuing with the previous ones")
		},
	})
	if err != nil {
		l.addError(pair.CertFile, err)
	}
	l.tlsFiles[pair] = loaded
	return loaded
}

// withTLS returns listener with TLS, or unchanged if files is nil.
func withTLS(listener net.Listener, files *seal.Reloader) net.Listener {
	if files == nil {
		return listener
	}
	return tls.NewListener(listener, files.Server())
}

// newDial returns a function that connects to other instances with TLS, or nil, which
// means plain TCP, if files is nil.
func newDial(files *seal.Reloader) courier.Dial {
	if files == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := tls.Dialer{Config: files.Client()}
		connection, err := dialer.DialContext(ctx, "tcp", address)
		return connection, errors.Wrapf(err, "host: connecting to %s", address)
	}
}
