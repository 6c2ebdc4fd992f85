package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// certificate writes a self-signed certificate for 127.0.0.1 and its key to PEM files. It
// returns the files and a pool that trusts the certificate.
func certificate(t *testing.T) (cert, key string, pool *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	pemCert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(cert, pemCert, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600); err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(pemCert)
	return cert, key, pool
}

// The operators' listener uses TLS if the settings have a certificate, authenticates
// operators by token, and serves the dump and the metrics. A daemon without
// configuration refuses callers. A stop without requests in progress ends Run with a
// complete shutdown.
func TestDaemonOperatorsTLS(t *testing.T) {
	cert, key, pool := certificate(t)
	set := settings.Default()
	set.Host, set.FailureDomain = "h", "a"
	set.Callers.Listen, set.Peers.Listen, set.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.Operators.Tokens = []settings.OperatorToken{{Name: "anna", TokenSHA256: bundle.Digest([]byte("secret"))}}
	set.Operators.TLS = &settings.TLS{Cert: cert, Key: key}
	set.Platform.URL = "http://127.0.0.1:1" // nothing listens there
	d, err := New(set, decisions.New(io.Discard, "test", hclog.Off))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(context.Background()) }()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}, Timeout: 10 * time.Second}
	get := func(url, token string) int {
		t.Helper()
		req, _ := http.NewRequest(http.MethodGet, url, nil)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	base := "https://" + d.OperatorAddress()
	for path, want := range map[string]int{"/debug/state": 200, "/metrics": 200, "/v1/status": 200, "/v1/nothing": 404} {
		if got := get(base+path, "secret"); got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
	if got := get(base+"/debug/state", "wrong"); got != http.StatusUnauthorized {
		t.Errorf("wrong token: status %d, want 401", got)
	}
	if got := get("http://"+d.CallerAddress()+"/v1/addresses", ""); got != http.StatusServiceUnavailable {
		t.Errorf("no configuration: status %d, want 503", got)
	}
	d.Stop()
	if err := <-done; !IsStopped(err) {
		t.Errorf("Run returned %v, want the end of a graceful shutdown", err)
	}
}
