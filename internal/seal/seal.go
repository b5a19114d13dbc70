// Package seal makes TLS configurations from files that are replaced while the
// process runs (certificate rotation).
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

// DefaultCheckEvery is how often files are looked at. Certificates are replaced
// days before they end, so seconds do not matter.
const DefaultCheckEvery = 10 * time.Second

// Options configures a Seal.
type Options struct {
	// Files is set, see settings.KeyPair.IsSet.
	Files settings.KeyPair
	// CheckEvery is the least time between two looks at the files. 0 stands for
	// DefaultCheckEvery.
	CheckEvery time.Duration
	// Now returns the present time.
	Now func() time.Time
	// Failed is told of files that were replaced and cannot be used. The ones
	// before stay in use. It is called with a lock held and must not call back.
	Failed func(err error)
}

// Seal holds a certificate with its key, and the certificates that verify the
// other side if there are any. It is safe for concurrent use.
//
// It looks at its files when a connection is made, so it needs no goroutine and
// a process without connections does nothing.
type Seal struct {
	options Options

	mu      sync.Mutex
	checked time.Time
	// stamp tells the files that current was made of from ones that replaced
	// them.
	stamp   stamp
	current pair
}

// pair is what the files held when they were read last.
type pair struct {
	certificate tls.Certificate
	// authorities is nil if the other side is not verified.
	authorities *x509.CertPool
	// server is kept as long as the files are, because the keys of session
	// tickets belong to it.
	server *tls.Config
}

// stamp is what changes of files when they are replaced.
type stamp struct {
	cert, key, ca fileStamp
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// New returns a Seal of the files. If they cannot be used, New returns an error.
func New(options Options) (*Seal, error) {
	if options.CheckEvery == 0 {
		options.CheckEvery = DefaultCheckEvery
	}
	s := &Seal{options: options, checked: options.Now()}
	// The stamp is taken before the files are read. If they are replaced in
	// between, the next look finds another stamp and reads them again.
	var err error
	if s.stamp, err = stampOf(options.Files); err != nil {
		return nil, err
	}
	if s.current, err = load(options.Files); err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the configuration of a listener. If there is a CA file, the
// other side must show a certificate that it verifies.
func (s *Seal) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.latest().server, nil
		},
	}
}

// Client returns the configuration of one connection that is to be made now.
// With a CA file, only that verifies the other side; without one, the system's
// certificates do.
func (s *Seal) Client() *tls.Config {
	latest := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{latest.certificate},
		RootCAs:      latest.authorities,
	}
}

// latest looks at the files if that is due, and returns what they hold or held
// when they could last be used.
func (s *Seal) latest() pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.checked) < s.options.CheckEvery {
		return s.current
	}
	s.checked = now
	found, err := stampOf(s.options.Files)
	if err == nil && found == s.stamp {
		return s.current
	}
	if err != nil {
		s.options.Failed(err)
		return s.current
	}
	// Certificate and key are two files and are replaced one after the other. In
	// between they do not fit and loading fails; the stamp is left as it was, so
	// the next look tries again.
	loaded, err := load(s.options.Files)
	if err != nil {
		s.options.Failed(err)
		return s.current
	}
	s.stamp, s.current = found, loaded
	return s.current
}

func load(files settings.KeyPair) (pair, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return pair{}, errors.Wrapf(err, "seal: %s with %s", files.CertFile, files.KeyFile)
	}
	p := pair{certificate: certificate}
	p.server = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if files.CAFile == "" {
		return p, nil
	}
	data, err := os.ReadFile(files.CAFile)
	if err != nil {
		return pair{}, errors.Wrap(err, "seal: reading the ca")
	}
	p.authorities = x509.NewCertPool()
	if !p.authorities.AppendCertsFromPEM(data) {
		return pair{}, errors.Newf("seal: %s holds no certificate in PEM", files.CAFile)
	}
	p.server.ClientCAs = p.authorities
	p.server.ClientAuth = tls.RequireAndVerifyClientCert
	return p, nil
}

func stampOf(files settings.KeyPair) (stamp, error) {
	var s stamp
	for path, to := range map[string]*fileStamp{files.CertFile: &s.cert, files.KeyFile: &s.key, files.CAFile: &s.ca} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamp{}, errors.Wrap(err, "seal: looking at the files")
		}
		*to = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return s, nil
}
