package cluster

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/scramverifier"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/store/grpcstore"
)

// certFiles are the paths of a self-signed certificate, which both ends of mutual
// TLS present and trust as the CA, and of its private key.
type certFiles struct {
	cert, key, ca string
}

const certLifetime = 24 * time.Hour

func (c *Cluster) writeCertificates(context.Context) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	dir := c.options.Dir
	c.certs = &certFiles{filepath.Join(dir, "peer.pem"), filepath.Join(dir, "peer.key"), filepath.Join(dir, "peer.pem")}
	if err := os.WriteFile(c.certs.cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600); err != nil {
		return err
	}
	return os.WriteFile(c.certs.key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600)
}

// document builds the configuration document from the options.
func (c *Cluster) document() (*config.Document, error) {
	o := &c.options
	d := &config.Document{
		Preset: "ordinary",
		Presets: []config.Preset{
			{Name: "ordinary", RateFactor: 1},
			{Name: "peak", RateFactor: 2},
			{Name: "maintenance", RateFactor: 1, RefuseWrites: true},
		},
		Jobs: o.Jobs,
	}
	d.SetDefaults()
	for _, z := range o.Zones {
		d.Zones = append(d.Zones, config.Zone{Name: model.Zone(z), Region: "test"})
	}
	for n, name := range o.Databases {
		db := config.Database{Name: model.Database(name), Slots: o.Slots, Connections: o.Connections}
		for i, u := range c.Groups[name].Upstreams {
			zone := model.Zone(o.Zones[(n+i)%len(o.Zones)])
			address, err := c.relayAddress(string(zone), c.upstreamAddresses[u.ID()], 0)
			if err != nil {
				return nil, err
			}
			db.Upstreams = append(db.Upstreams, config.Upstream{ID: u.ID(), Zone: zone, Address: address})
		}
		d.Databases = append(d.Databases, db)
	}
	for _, w := range o.Workspaces {
		verifier, err := scramverifier.New(w.Key, []byte("0123456789abcdef"), scramverifier.DefaultIterations)
		if err != nil {
			return nil, err
		}
		weight := w.Weight
		if weight == 0 {
			weight = 1
		}
		d.Workspaces = append(d.Workspaces, config.Workspace{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: weight,
			KeyGrace: config.Duration(config.DefaultKeyGrace),
			Keys:     []config.Key{{ID: "first", Verifier: verifier.String()}},
		})
	}
	return d, nil
}

// storeConfig writes version 1 of the configuration to the platform's store. It
// fails if the store already has a configuration.
func (c *Cluster) storeConfig(ctx context.Context) error {
	document, err := c.document()
	if err != nil {
		return err
	}
	c.Document = document
	text, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return err
	}
	if _, list := config.Parse("test configuration", text); len(list) > 0 {
		return list
	}
	encoded, err := config.EncodeRecord(config.Record{
		Version: 1, RequestID: "test", Author: "test", Summary: "test", AcceptedUnixMS: 1, Document: string(text),
	})
	if err != nil {
		return err
	}
	client, err := grpcstore.New(grpcstore.Options{Addresses: []string{c.store}, Timeout: time.Second, Metrics: metrics.NewRegistry()})
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := client.Txn(ctx,
		[]store.Condition{{Key: config.CurrentKey}},
		[]store.Write{{Key: config.CurrentKey, Value: encoded}, {Key: config.HistoryKey(1), Value: encoded}})
	if err == nil && !result.Succeeded {
		err = errors.New("the store already has a configuration")
	}
	return err
}
