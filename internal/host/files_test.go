package host_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/host"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

// writeTLSFiles writes cert.pem, key.pem and ca.pem of a self-signed certificate for
// 127.0.0.1 into folder, and returns a pool that verifies it.
func writeTLSFiles(folder string) *x509.CertPool {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:        true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for name, data := range map[string][]byte{
		"cert.pem": certificate, "ca.pem": certificate,
		"key.pem": pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	} {
		Expect(os.WriteFile(filepath.Join(folder, name), data, 0o600)).To(Succeed())
	}
	pool := x509.NewCertPool()
	Expect(pool.AppendCertsFromPEM(certificate)).To(BeTrue())
	return pool
}

// testInstance is the name and the listen addresses of an instance in a test.
type testInstance struct {
	name, caller, upstream, operator, inner string
}

func newTestInstance(name string) testInstance {
	return testInstance{name, freeAddress(), freeAddress(), freeAddress(), freeAddress()}
}

// tlsSettings returns the settings of t with TLS on all listeners, and with one peer.
func (t testInstance) tlsSettings(peer testInstance) string {
	return fmt.Sprintf(`
name = %q
failure-domain = "kgn-a"
voter = true
data-folder = "data-%s"
timing.entry-time = "10ms"
limits.header-time = "3s"
caller-address = %q
upstream-address = %q
operator-address = %q
inner-address = %q
tls.callers = { cert = "cert.pem", key = "key.pem" }
tls.upstreams = { cert = "cert.pem", key = "key.pem" }
tls.operators = { cert = "cert.pem", key = "key.pem" }
tls.inner = { cert = "cert.pem", key = "key.pem", ca = "ca.pem" }
[[instances]]
name = %q
failure-domain = "kgn-b"
inner-address = %q
caller-address = %q
voter = true
`, t.name, t.name, t.caller, t.upstream, t.operator, t.inner, peer.name, peer.inner, peer.caller)
}

var _ = Describe("files that the settings refer to", func() {
	It("are reported together if they are invalid, and nothing is started", func(ctx SpecContext) {
		folder := GinkgoT().TempDir()
		writeTLSFiles(folder)
		target := newTestInstance("a")
		Expect(os.WriteFile(filepath.Join(folder, "ca.pem"), []byte("none"), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "tokens.toml"), []byte("[[token]]\nname = 1\n"), 0o600)).To(Succeed())
		path := filepath.Join(folder, "a.toml")
		text := "tokens = { operators = \"tokens.toml\", upstreams = \"gone.toml\" }\n" + target.tlsSettings(newTestInstance("b"))
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		err := host.Run(ctx, host.Options{SettingsPath: path, Log: io.Discard})
		var findingErr *finding.Error
		Expect(errors.As(err, &findingErr)).To(BeTrue(), "%v", err)
		Expect(strings.Split(err.Error(), "\n")).To(ConsistOf(
			ContainSubstring("ca.pem holds no certificate in PEM"),
			HavePrefix(filepath.Join(folder, "gone.toml")+": badge: reading the file"),
			HavePrefix(filepath.Join(folder, "tokens.toml")+":1:3: key \"sha256\" is missing"),
			HavePrefix(filepath.Join(folder, "tokens.toml")+":2:8: \"name\" must be a text"),
		))
		Expect(filepath.Join(folder, "data-a")).NotTo(BeADirectory())
		listener, err := net.Listen("tcp", target.caller)
		Expect(err).NotTo(HaveOccurred())
		listener.Close()
	})
})

var _ = Describe("TLS from settings", func() {
	It("is used on every listener and between instances", func(ctx SpecContext) {
		folder := GinkgoT().TempDir()
		pool := writeTLSFiles(folder)
		a, b := newTestInstance("a"), newTestInstance("b")
		runCtx, stop := context.WithCancel(ctx)
		defer stop()
		ended := make(chan error, 2)
		for _, pair := range [][2]testInstance{{a, b}, {b, a}} {
			path := filepath.Join(folder, pair[0].name+".toml")
			Expect(os.WriteFile(path, []byte(pair[0].tlsSettings(pair[1])), 0o600)).To(Succeed())
			go func() {
				ended <- host.Run(runCtx, host.Options{SettingsPath: path, Log: io.Discard})
			}()
		}
		trustedTLS := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		operator, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(a.operator)}, TLS: trustedTLS, Timeout: 10 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		names := func() ([]string, error) {
			status, err := operator.Status(ctx)
			var found []string
			for _, instance := range status.Instances {
				found = append(found, instance.Name)
			}
			return found, err
		}
		Eventually(ctx, names).WithTimeout(30 * time.Second).Should(ConsistOf("a", "b"))

		for _, address := range []string{a.caller, a.upstream, a.operator} {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: trustedTLS}}
			response, err := get(ctx, client, "https://"+address+"/")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.TLS).NotTo(BeNil())
			response, err = get(ctx, http.DefaultClient, "http://"+address+"/")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		}
		Expect(readWithoutCertificate(ctx, a.inner, trustedTLS)).To(MatchError(ContainSubstring("certificate required")))
		Expect(readWithoutHandshake(ctx, a.inner)).To(MatchError(io.EOF))
		stop()
		for range 2 {
			Eventually(ctx, ended).WithTimeout(30 * time.Second).Should(Receive(BeNil()))
		}
	})
})

// get returns the response with its body closed.
func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}

// readWithoutCertificate connects to an instance's inner listener without a client
// certificate and returns the error of its first read.
func readWithoutCertificate(ctx context.Context, address string, config *tls.Config) error {
	dialer := tls.Dialer{Config: config}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	_, err = connection.Read(make([]byte, 1))
	return err
}

// readWithoutHandshake connects to address, sends nothing, and returns the error of a
// read, which fails once the server closes the connection.
func readWithoutHandshake(ctx context.Context, address string) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	if err := connection.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		return err
	}
	_, err = connection.Read(make([]byte, 1))
	return err
}
