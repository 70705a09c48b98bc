package run

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"

	"github.com/chervilhatch/chervilhatch/node"
	"github.com/chervilhatch/chervilhatch/settings"
)

// ErrNoCertificate means that a CA file contains no certificate.
var ErrNoCertificate = errors.New("no certificate in CA file")

// loadTLS sets the TLS options of the node from the certificate files.
func loadTLS(s *settings.Settings, o *node.Options) error {
	if s.Caller.Cert != "" {
		cert, err := tls.LoadX509KeyPair(s.Caller.Cert, s.Caller.Key)
		if err != nil {
			return fmt.Errorf("caller TLS: %w", err)
		}
		o.CallerTLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	var err error
	if o.PeerServerTLS, err = serverTLS(s.Peer.TLS); err != nil {
		return fmt.Errorf("peer TLS: %w", err)
	}
	if o.PeerClientTLS, err = clientTLS(s.Peer.TLS); err != nil {
		return fmt.Errorf("peer TLS: %w", err)
	}
	if s.Operator.Listen == "" {
		return nil
	}
	if o.OperatorTLS, err = serverTLS(*s.Operator.TLS); err != nil {
		return fmt.Errorf("operator TLS: %w", err)
	}
	return nil
}

// serverTLS returns credentials that require a client certificate signed by the CA.
func serverTLS(files settings.TLS) (credentials.TransportCredentials, error) {
	cert, pool, err := loadCertificates(files)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}), nil
}

// clientTLS returns credentials that present the certificate and verify servers
// against the CA.
func clientTLS(files settings.TLS) (credentials.TransportCredentials, error) {
	cert, pool, err := loadCertificates(files)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}), nil
}

// loadCertificates loads a key pair and the pool of its CA file.
func loadCertificates(files settings.TLS) (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return cert, nil, err
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		return cert, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return cert, nil, fmt.Errorf("%w: %s", ErrNoCertificate, files.CA)
	}
	return cert, pool, nil
}
