package seal_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/seal"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// authority is a CA that issues certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

var serial int64

func newAuthority() authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := certificateTemplate("ca")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return authority{certificate: certificate, key: key}
}

func certificateTemplate(name string) *x509.Certificate {
	serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue returns a certificate and its key in PEM.
func (a authority) issue(name string) (certificate, key []byte) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(name), a.certificate, private.Public(), a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// fixture holds the files of one peer and the Reloader that uses them.
type fixture struct {
	files    settings.KeyPair
	now      time.Time
	writes   int
	failures []error
	reloader *seal.Reloader
}

func newFixture(a authority, name string) *fixture {
	folder := GinkgoT().TempDir()
	f := &fixture{
		files: settings.KeyPair{
			CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: filepath.Join(folder, "ca.pem"),
		},
		now: time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC),
	}
	f.write(f.files.CAFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw}))
	certificate, key := a.issue(name)
	f.write(f.files.CertFile, certificate)
	f.write(f.files.KeyFile, key)
	return f
}

// write replaces a file and gives it a unique modification time.
func (f *fixture) write(path string, data []byte) {
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	f.writes++
	at := f.now.Add(time.Duration(f.writes) * time.Second)
	Expect(os.Chtimes(path, at, at)).To(Succeed())
}

func (f *fixture) open() *fixture {
	opened, err := seal.New(seal.Options{
		Files: f.files, Now: func() time.Time { return f.now },
		OnError: func(err error) { f.failures = append(f.failures, err) },
	})
	Expect(err).NotTo(HaveOccurred())
	f.reloader = opened
	return f
}

// handshake connects client to server. It returns the common name of the server's certificate and
// the errors of both sides.
func handshake(server, client *tls.Config) (serverName string, clientErr, serverErr error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		serverSide, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer serverSide.Close()
		done <- tls.Server(serverSide, server).HandshakeContext(ctx)
	}()
	var dialer net.Dialer
	clientSide, err := dialer.DialContext(ctx, "tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer clientSide.Close()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	connection := tls.Client(clientSide, client)
	clientErr = connection.HandshakeContext(ctx)
	if peers := connection.ConnectionState().PeerCertificates; len(peers) > 0 {
		serverName = peers[0].Subject.CommonName
	}
	return serverName, clientErr, <-done
}

var _ = Describe("Reloader", func() {
	It("verifies both peers if one authority issued their certificates", func() {
		a := newAuthority()
		server, client := newFixture(a, "server").open(), newFixture(a, "client").open()
		serverName, clientErr, serverErr := handshake(server.reloader.Server(), client.reloader.Client())
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(serverName).To(Equal("server"))
	})

	It("rejects certificates of another authority on both sides, and a client without a certificate", func() {
		server, client := newFixture(newAuthority(), "server").open(), newFixture(newAuthority(), "client").open()
		_, clientErr, _ := handshake(server.reloader.Server(), client.reloader.Client())
		Expect(clientErr).To(MatchError(ContainSubstring("unknown authority")))
		insecure := client.reloader.Client()
		insecure.InsecureSkipVerify = true
		_, _, serverErr := handshake(server.reloader.Server(), insecure)
		Expect(serverErr).To(MatchError(ContainSubstring("unknown authority")))
		insecure.Certificates = nil
		_, _, serverErr = handshake(server.reloader.Server(), insecure)
		Expect(serverErr).To(MatchError(ContainSubstring("client didn't provide a certificate")))
	})

	It("requests no client certificate without a CA file", func() {
		a := newAuthority()
		f := newFixture(a, "server")
		f.files.CAFile = ""
		f.open()
		pool := x509.NewCertPool()
		pool.AddCert(a.certificate)
		_, clientErr, serverErr := handshake(f.reloader.Server(), &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12})
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(serverErr).NotTo(HaveOccurred())
	})

	It("presents a replaced certificate after the next check, on the same listener", func() {
		a := newAuthority()
		f, client := newFixture(a, "old").open(), newFixture(a, "client").open()
		listener := f.reloader.Server()
		certificate, key := a.issue("new")
		f.write(f.files.CertFile, certificate)
		f.write(f.files.KeyFile, key)
		f.now = f.now.Add(seal.DefaultCheckInterval - 1)
		serverName, _, _ := handshake(listener, client.reloader.Client())
		Expect(serverName).To(Equal("old"))
		f.now = f.now.Add(1)
		serverName, _, _ = handshake(listener, client.reloader.Client())
		Expect(serverName).To(Equal("new"))
		Expect(f.failures).To(BeEmpty())
	})

	It("keeps the old certificate while the new certificate and key do not match", func() {
		// An operator's script replaces the certificate, and the key a little later. Connections in
		// between must not fail, because the old pair is still valid. Once the key is replaced, the
		// new pair is loaded without another change of the certificate.
		a := newAuthority()
		f, client := newFixture(a, "old").open(), newFixture(a, "client").open()
		certificate, key := a.issue("new")
		f.write(f.files.CertFile, certificate)
		f.now = f.now.Add(seal.DefaultCheckInterval)
		serverName, clientErr, _ := handshake(f.reloader.Server(), client.reloader.Client())
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(serverName).To(Equal("old"))
		Expect(f.failures).To(ConsistOf(MatchError(ContainSubstring("does not match"))))
		f.write(f.files.KeyFile, key)
		f.now = f.now.Add(seal.DefaultCheckInterval)
		serverName, _, _ = handshake(f.reloader.Server(), client.reloader.Client())
		Expect(serverName).To(Equal("new"))
	})

	It("retries after a failure even if the files look unchanged", func() {
		// The key is read while it is being written. Its modification time and size are the same
		// before and after, as can happen on file systems with a resolution of seconds. The new
		// pair must still be loaded.
		a := newAuthority()
		f, client := newFixture(a, "old").open(), newFixture(a, "client").open()
		certificate, key := a.issue("new")
		f.write(f.files.CertFile, certificate)
		f.write(f.files.KeyFile, make([]byte, len(key)))
		f.now = f.now.Add(seal.DefaultCheckInterval)
		serverName, _, _ := handshake(f.reloader.Server(), client.reloader.Client())
		Expect(serverName).To(Equal("old"))
		info, err := os.Stat(f.files.KeyFile)
		Expect(err).NotTo(HaveOccurred())
		f.write(f.files.KeyFile, key)
		Expect(os.Chtimes(f.files.KeyFile, info.ModTime(), info.ModTime())).To(Succeed())
		f.now = f.now.Add(seal.DefaultCheckInterval)
		serverName, _, _ = handshake(f.reloader.Server(), client.reloader.Client())
		Expect(serverName).To(Equal("new"))
	})

	It("keeps the old certificate while a file is missing", func() {
		f := newFixture(newAuthority(), "old").open()
		Expect(os.Remove(f.files.KeyFile)).To(Succeed())
		f.now = f.now.Add(seal.DefaultCheckInterval)
		Expect(f.reloader.Client().Certificates).To(HaveLen(1))
		Expect(f.failures).To(ConsistOf(MatchError(ContainSubstring("seal: looking at the files"))))
	})

	It("trusts only the new authority after the CA file is replaced", func() {
		old, next := newAuthority(), newAuthority()
		f := newFixture(old, "server").open()
		before, after := newFixture(old, "client").open(), newFixture(next, "client").open()
		f.write(f.files.CAFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: next.certificate.Raw}))
		f.now = f.now.Add(seal.DefaultCheckInterval)
		for client, accepted := range map[*fixture]bool{before: false, after: true} {
			config := client.reloader.Client()
			config.InsecureSkipVerify = true
			_, _, serverErr := handshake(f.reloader.Server(), config)
			Expect(serverErr == nil).To(Equal(accepted), "%v", serverErr)
		}
	})

	It("returns an error for unusable files", func() {
		f := newFixture(newAuthority(), "server")
		f.write(f.files.CAFile, []byte("no certificate"))
		_, err := seal.New(seal.Options{Files: f.files, Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("ca.pem holds no certificate in PEM")))
		Expect(os.Remove(f.files.CertFile)).To(Succeed())
		_, err = seal.New(seal.Options{Files: f.files, Now: time.Now})
		Expect(err).To(MatchError(ContainSubstring("no such file")))
	})
})
