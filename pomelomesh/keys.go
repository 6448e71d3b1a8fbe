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
	modTimes    [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
	// polledAt is when the files were last looked at without a handshake, and warned when the log last told of their end.
	polledAt time.Time
	warnedAt time.Time
}

const (
	// pollInterval is how often the files are looked at without a handshake.
	pollInterval = time.Minute
	// expiryWarnInterval is how often the log tells that the certificate ends.
	expiryWarnInterval = time.Hour
	// expiryWarnDivisor of a certificate's life is when its end is told.
	expiryWarnDivisor = 5
)

// poll reads changed files, and tells of a certificate near its end. Routers keep their links for weeks: without it a mistake in
// new files, or a certificate that nobody replaced, would be seen only when links break and none can be opened.
func (k *keys) poll(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.polledAt) < pollInterval {
		return
	}
	k.polledAt = now
	k.refresh()
	leaf := k.certificate.Leaf
	lifetime := leaf.NotAfter.Sub(leaf.NotBefore)
	if leaf.NotAfter.Sub(now) > lifetime/expiryWarnDivisor || now.Sub(k.warnedAt) < expiryWarnInterval {
		return
	}
	k.warnedAt = now
	k.logger.Log(pomelorelay.EventMeshKeysEnding, pomelorelay.Field{Key: "End", Value: leaf.NotAfter.UTC().Format(time.RFC3339)})
}

func loadKeys(files TLSFiles, logger pomelorelay.Logger) (*keys, error) {
	k := &keys{files: files, logger: logger}
	stamps, err := k.statFiles()
	if err != nil {
		return nil, err
	}
	if err := k.load(); err != nil {
		return nil, err
	}
	k.modTimes = stamps
	return k, nil
}

func (k *keys) statFiles() ([3]time.Time, error) {
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
	stamps, err := k.statFiles()
	if err == nil && stamps == k.modTimes {
		return
	}
	if err == nil {
		err = k.load()
	}
	if err != nil {
		k.logger.Log(pomelorelay.EventMeshKeysBad, pomelorelay.Field{Key: "Error", Value: err.Error()})
		return
	}
	k.modTimes = stamps
	k.logger.Log(pomelorelay.EventMeshKeysChanged)
}

func (k *keys) clientConfig(node pomelorelay.NodeID) *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: string(node), RootCAs: k.authority, Certificates: []tls.Certificate{k.certificate}}
}

func (k *keys) serverConfig() *tls.Config {
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
