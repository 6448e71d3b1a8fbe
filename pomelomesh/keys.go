package pomelomesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// keys holds the key pair and authority of mutual TLS and reads changed files again at the next handshake.
type keys struct {
	files  TLSFiles
	logger pomelorelay.Logger

	mu          sync.Mutex
	stamps      [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

func loadKeys(files TLSFiles, logger pomelorelay.Logger) (*keys, error) {
	k := &keys{files: files, logger: logger}
	stamps, err := k.stat()
	if err != nil {
		return nil, err
	}
	if err := k.load(); err != nil {
		return nil, err
	}
	k.stamps = stamps
	return k, nil
}

func (k *keys) stat() ([3]time.Time, error) {
	var stamps [3]time.Time
	for i, name := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, pomelorelay.NewError(pomelorelay.CodeMeshTLS, "key file", err)
		}
		stamps[i] = info.ModTime()
	}
	return stamps, nil
}

func (k *keys) load() error {
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "key pair", err)
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "authority", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "no certificate in the authority file", nil)
	}
	k.certificate, k.authority = certificate, authority
	return nil
}

// refresh reads the files again when they changed. Files that are half written or do not fit together leave the
// former keys in use and are tried again at the next handshake.
func (k *keys) refresh() {
	stamps, err := k.stat()
	if err == nil && stamps == k.stamps {
		return
	}
	if err == nil {
		err = k.load()
	}
	if err != nil {
		k.logger.Log(pomelorelay.EventMeshKeysBad, pomelorelay.Field{Key: "Error", Value: err.Error()})
		return
	}
	k.stamps = stamps
	k.logger.Log(pomelorelay.EventMeshKeysChanged)
}

func (k *keys) client(node pomelorelay.NodeID) *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: string(node), RootCAs: k.authority, Certificates: []tls.Certificate{k.certificate}}
}

func (k *keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.refresh()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate}, NextProtos: []string{"h2"},
				ClientCAs: k.authority, ClientAuth: tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}
