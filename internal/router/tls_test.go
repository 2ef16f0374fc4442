package router

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/admit"
	pb "cherryhub/proto"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
	n    int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, pool: x509.NewCertPool()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.cert = a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign}, &a.key.PublicKey)
	a.pool.AddCert(a.cert)
	return a
}

func (a *authority) sign(c *x509.Certificate, key *ecdsa.PublicKey) *x509.Certificate {
	a.n++
	c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(a.n), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent := a.cert
	if parent == nil {
		parent = c
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key, a.key)
	require.NoError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert
}

// issue makes a certificate for a name. It writes the certificate and its key to the given PEM files, if any.
func (a *authority) issue(name, certFile, keyFile string) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	cert := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, &key.PublicKey)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	writePEM := func(file, kind string, der []byte) {
		if file != "" {
			require.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		}
	}
	writePEM(certFile, "CERTIFICATE", cert.Raw)
	writePEM(keyFile, "EC PRIVATE KEY", der)
	return tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}
}

func TestTLS(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	certFile, keyFile, caFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	a.issue("first.example", certFile, keyFile)
	require.NoError(t, os.WriteFile(caFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o600))
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		r.Tls = &pb.Tls{CertificateFile: &certFile, KeyFile: &keyFile, ClientCaFile: &caFile, PollS: proto.Float64(0.05)}
		r.Admission = &pb.Admission{MaxConnections: proto.Int32(20), ReserveConnections: proto.Int32(8), Anteroom: proto.Int32(4), PerAddress: proto.Int32(8),
			HeaderS: proto.Float64(1), AnteroomS: proto.Float64(0.5), Clients: []*pb.Known{{Name: proto.String("partner"), Certificates: []string{"partner.example"}}}}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	dial := func(c *tls.Config) (*tls.Conn, error) {
		c.RootCAs = a.pool
		return tls.DialWithDialer(&net.Dialer{Timeout: 2 * time.Second}, "tcp", h.Address(), c)
	}
	partner := a.issue("partner.example", "", "")

	t.Run("streams", func(t *testing.T) {
		assert.Equal(t, "finished", streamOutcome(t.Context(), h, `"x"`, 10))
	})
	t.Run("minimum version", func(t *testing.T) {
		_, err := dial(&tls.Config{MaxVersion: tls.VersionTLS11, MinVersion: tls.VersionTLS10})
		assert.Error(t, err)
	})
	t.Run("client disconnect is detected", func(t *testing.T) {
		conn, err := dial(&tls.Config{})
		require.NoError(t, err)
		body := `{"model":"m","max_tokens":400,"messages":[{"role":"user","content":"not streamed"}]}`
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", requestHead, len(body), body)
		require.Eventually(t, func() bool { _, n := h.Edge.Active(); return n > 0 }, 2*time.Second, time.Millisecond)
		left := h.answerCount("left")
		conn.Close()
		require.Eventually(t, func() bool { n, m := h.Edge.Active(); return n+m == 0 }, 2*time.Second, 5*time.Millisecond, "its dispatch is cancelled")
		assert.Equal(t, left+1, h.answerCount("left"))
	})
	t.Run("client identified by certificate", func(t *testing.T) {
		var conns []net.Conn
		defer func() {
			for _, c := range conns {
				c.Close()
			}
		}()
		for range 8 { // the limit per address; below, half of the provisional connections do no handshake
			conn, err := dial(&tls.Config{})
			require.NoError(t, err)
			conns = append(conns, conn)
		}
		for range 2 {
			conn, err := net.Dial("tcp", h.Address())
			require.NoError(t, err)
			conns = append(conns, conn)
		}
		conn, err := dial(&tls.Config{Certificates: []tls.Certificate{partner}})
		require.NoError(t, err)
		conns = append(conns, conn)
		fmt.Fprint(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Contains(t, fmt.Sprint(h.admissionStatus().Holders), "partner true 1")

		other, err := dial(&tls.Config{})
		require.NoError(t, err)
		conns = append(conns, other)
		fmt.Fprint(other, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err = http.ReadResponse(bufio.NewReader(other), nil)
		require.NoError(t, err)
		assert.Equal(t, 503, resp.StatusCode, "an unidentified client on a provisional connection")
		assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	})
	t.Run("incomplete handshake", func(t *testing.T) {
		require.Eventually(t, func() bool { stats, _ := h.listener.Stats(0); return stats.Provisional == 0 && stats.Common <= 1 }, 3*time.Second, 10*time.Millisecond)
		conn, err := net.Dial("tcp", h.Address())
		require.NoError(t, err)
		defer conn.Close()
		conn.Write([]byte{22, 3, 1, 2, 0, 1, 0}) // a TLS record shorter than its header says
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err = io.ReadAll(conn)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the router closes the connection")
	})
	t.Run("refused by an alert", func(t *testing.T) {
		var conns []net.Conn
		defer func() {
			for _, c := range conns {
				c.Close()
			}
		}()
		var err error
		for range 30 {
			var conn net.Conn
			if conn, err = net.Dial("tcp", h.Address()); err == nil {
				conns = append(conns, conn)
			}
		}
		require.Eventually(t, func() bool {
			began := time.Now()
			_, err = dial(&tls.Config{})
			return err != nil && strings.Contains(err.Error(), "access denied") && time.Since(began) < 100*time.Millisecond
		}, 2*time.Second, time.Millisecond, "%v", err)
	})
	t.Run("certificate reloaded", func(t *testing.T) {
		served := func() string {
			conn, err := dial(&tls.Config{})
			if err != nil {
				return err.Error()
			}
			defer conn.Close()
			return conn.ConnectionState().PeerCertificates[0].Subject.CommonName
		}
		require.Eventually(t, func() bool { return served() == "first.example" }, 3*time.Second, 50*time.Millisecond)
		require.NoError(t, os.WriteFile(certFile, []byte("no certificate"), 0o600))
		time.Sleep(250 * time.Millisecond)
		assert.Equal(t, "first.example", served(), "an invalid file changes nothing")
		a.issue("second.example", certFile, keyFile)
		require.Eventually(t, func() bool { return served() == "second.example" }, 3*time.Second, 50*time.Millisecond)
	})
	stats, _ := h.listener.Stats(0)
	assert.Positive(t, stats.Refused[admit.ReasonNotIdentified])
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Equal(t, "finished", streamOutcome(ctx, h, `"y"`, 4))
	h.stopAndCheck()
}
