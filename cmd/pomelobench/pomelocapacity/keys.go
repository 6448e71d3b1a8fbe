package pomelocapacity

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
	"time"

	"github.com/pomelorelay/pomelorelay/pomelomesh"

	"github.com/go-faster/errors"
)

const keysLast = time.Hour

// authority issues the certificates of the measured links.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(dir string) (*authority, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "capacity"}, NotBefore: time.Now().Add(-keysLast), NotAfter: time.Now().Add(keysLast),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority")
	}
	a := &authority{dir, certificate, key}
	return a, writePEM(filepath.Join(dir, "authority.pem"), "CERTIFICATE", der)
}

// issue writes the key files of a router.
func (a *authority) issue(name string) (pomelomesh.TLSFiles, error) {
	files := pomelomesh.TLSFiles{
		Certificate: filepath.Join(a.dir, name+"-cert.pem"), Key: filepath.Join(a.dir, name+"-key.pem"), Authority: filepath.Join(a.dir, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Wrap(err, "make a router's key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: a.certificate.NotBefore, NotAfter: a.certificate.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, errors.Wrap(err, "sign a router's certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, errors.Wrap(err, "encode a router's key")
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", private)
}

func writePEM(name, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(name, data, 0o600); err != nil {
		return errors.Wrap(err, "write a key file")
	}
	return nil
}
