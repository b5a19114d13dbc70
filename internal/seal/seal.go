// Package seal provides TLS configurations with certificate rotation: their files may be replaced
// while the process runs.
package seal

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/settings"
)

// DefaultCheckInterval is the default time between two checks of the files. Certificates are
// replaced days before they expire, so a delay of seconds is harmless.
const DefaultCheckInterval = 10 * time.Second

// Options configures a Reloader.
type Options struct {
	// Files must be set, see settings.KeyPair.IsSet.
	Files settings.KeyPair
	// CheckInterval is the minimum time between two checks of the files. 0 selects
	// DefaultCheckInterval.
	CheckInterval time.Duration
	// Now returns the current time.
	Now func() time.Time
	// OnError is called for replaced files that cannot be used. The previous ones stay in use. It is
	// called with a lock held and must not call methods of the Reloader.
	OnError func(err error)
}

// Reloader holds a certificate with its key, and optionally the CA certificates that verify the peer.
// It is safe for concurrent use.
//
// It checks its files when a connection is made, so it needs no goroutine, and a process without
// connections does no work.
type Reloader struct {
	options Options

	mu        sync.Mutex
	lastCheck time.Time
	// versions are those of the files from which current was loaded.
	versions fileVersions
	current  credentials
}

// credentials are the certificates loaded from the files, and the server configuration with them.
type credentials struct {
	certificate tls.Certificate
	// authorities is nil if the peer is not verified.
	authorities *x509.CertPool
	// server is kept until the files change, because it holds the keys of session tickets.
	server *tls.Config
}

// fileVersions are the file attributes that change when the files are replaced.
type fileVersions struct {
	cert, key, ca fileVersion
}

type fileVersion struct {
	modified time.Time
	size     int64
}

// New returns a Reloader that has loaded the files. If they cannot be used, New returns an error.
func New(options Options) (*Reloader, error) {
	if options.CheckInterval == 0 {
		options.CheckInterval = DefaultCheckInterval
	}
	r := &Reloader{options: options, lastCheck: options.Now()}
	// The versions are determined before the files are read. If the files are replaced in between,
	// the next check finds other versions and reads them again.
	var err error
	if r.versions, err = versionsOf(options.Files); err != nil {
		return nil, err
	}
	if r.current, err = loadCredentials(options.Files); err != nil {
		return nil, err
	}
	return r, nil
}

// Server returns the configuration of a listener. If there is a CA file, clients must present a
// certificate that it verifies.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.latest().server, nil
		},
	}
}

// Client returns the configuration for one connection that is made now. It does not follow later
// replacements of the files. With a CA file, only its certificates verify the server; without one,
// those of the system do.
func (r *Reloader) Client() *tls.Config {
	latest := r.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{latest.certificate},
		RootCAs:      latest.authorities,
	}
}

// latest checks the files if that is due, and returns their contents, or the last usable ones.
func (r *Reloader) latest() credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	if now.Sub(r.lastCheck) < r.options.CheckInterval {
		return r.current
	}
	r.lastCheck = now
	versions, err := versionsOf(r.options.Files)
	if err == nil && versions == r.versions {
		return r.current
	}
	if err != nil {
		r.options.OnError(err)
		return r.current
	}
	// Certificate and key are two files that are replaced one after the other. In between they do
	// not match and loading fails. The versions are not updated then, so the next check tries
	// again.
	loaded, err := loadCredentials(r.options.Files)
	if err != nil {
		r.options.OnError(err)
		return r.current
	}
	r.versions, r.current = versions, loaded
	return r.current
}

func loadCredentials(files settings.KeyPair) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return credentials{}, errors.Wrapf(err, "seal: %s with %s", files.CertFile, files.KeyFile)
	}
	loaded := credentials{certificate: certificate}
	loaded.server = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if files.CAFile == "" {
		return loaded, nil
	}
	data, err := os.ReadFile(files.CAFile)
	if err != nil {
		return credentials{}, errors.Wrap(err, "seal: reading the ca")
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(data) {
		return credentials{}, errors.Newf("seal: %s holds no certificate in PEM", files.CAFile)
	}
	loaded.server.ClientCAs = loaded.authorities
	loaded.server.ClientAuth = tls.RequireAndVerifyClientCert
	return loaded, nil
}

func versionsOf(files settings.KeyPair) (fileVersions, error) {
	var versions fileVersions
	for path, version := range map[string]*fileVersion{files.CertFile: &versions.cert, files.KeyFile: &versions.key, files.CAFile: &versions.ca} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return fileVersions{}, errors.Wrap(err, "seal: looking at the files")
		}
		*version = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}
