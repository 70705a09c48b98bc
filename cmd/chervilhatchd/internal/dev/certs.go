package dev

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/grpc/credentials"
)

// certLifetime exceeds the time for which a development daemon runs.
const certLifetime = 30 * 24 * time.Hour

// certificates holds a self-signed certificate for both sides of mutual TLS. It is
// generated at each start and kept in memory unless write stores it.
type certificates struct {
	cert tls.Certificate
	pool *x509.CertPool
}

func newCertificates() (*certificates, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "chervilhatchd dev"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		DNSNames:              []string{"localhost"},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &certificates{
		cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: parsed},
		pool: pool,
	}, nil
}

func (c *certificates) certPath(dir string) string { return filepath.Join(dir, "dev.pem") }

func (c *certificates) keyPath(dir string) string { return filepath.Join(dir, "dev.key") }

// write stores the certificate and its private key in dir. It does nothing if dir
// is empty.
func (c *certificates) write(dir string) error {
	if dir == "" {
		return nil
	}
	key, err := x509.MarshalPKCS8PrivateKey(c.cert.PrivateKey)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.cert.Certificate[0]})
	if err := os.WriteFile(c.certPath(dir), cert, 0o600); err != nil {
		return err
	}
	return os.WriteFile(c.keyPath(dir), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600)
}

func (c *certificates) server() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{c.cert},
		ClientCAs:    c.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
}

func (c *certificates) client() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{c.cert},
		RootCAs:      c.pool,
		MinVersion:   tls.VersionTLS13,
	})
}
