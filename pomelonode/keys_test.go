package pomelonode_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// authority is a certificate authority that issues router certificates.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
	// validFor is how long from now the issued certificates are valid; their validity begins an hour before now.
	validFor time.Duration
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t: t, certificate: certificate, key: key, serial: 1, validFor: time.Hour}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// keyFiles returns the TLS settings for the key files in a directory.
func keyFiles(dir string) pomeloconfig.TLSSettings {
	return pomeloconfig.TLSSettings{
		CertFile:      filepath.Join(dir, "router.crt"),
		KeyFile:       filepath.Join(dir, "router.key"),
		AuthorityFile: filepath.Join(dir, "authority.crt"),
	}
}

// issue writes a new key and certificate for a router into the directory.
func (a *authority) issue(dir string, node pomelorelay.NodeID) {
	a.t.Helper()
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), DNSNames: []string{string(node)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(a.validFor),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	key := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := keyFiles(dir)
	a.write(files.CertFile, "CERTIFICATE", der)
	a.write(files.KeyFile, "PRIVATE KEY", private)
}

func (a *authority) write(path, kind string, blocks ...[]byte) {
	a.t.Helper()
	var text []byte
	for _, block := range blocks {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: block})...)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// writeAuthorities writes the certificates of the authorities that a router trusts into its directory.
func writeAuthorities(dir string, authorities ...*authority) {
	var blocks [][]byte
	for _, a := range authorities {
		blocks = append(blocks, a.certificate.Raw)
	}
	authorities[0].write(keyFiles(dir).AuthorityFile, "CERTIFICATE", blocks...)
}

// eventLog is a logger that stores all events.
type eventLog struct {
	mu     sync.Mutex
	events []loggedEvent
}

type loggedEvent struct {
	id     pomelorelay.EventID
	fields []pomelorelay.Field
}

// Log stores the event.
func (l *eventLog) Log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, loggedEvent{id, fields})
}

func (l *eventLog) count(id pomelorelay.EventID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.events {
		if e.id == id {
			n++
		}
	}
	return n
}
