package pomelomesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// keys holds the key pair and the authority for mutual TLS; changed files are reloaded at the next handshake or poll.
type keys struct {
	files  TLSFiles
	logger pomelorelay.Logger

	mu          sync.Mutex
	modTimes    [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
	// polledAt is the time of the last poll, warnedAt that of the last log entry about the certificate's expiry.
	polledAt time.Time
	warnedAt time.Time
}

const (
	// pollInterval is how often the files are checked independently of handshakes.
	pollInterval = time.Minute
	// expiryWarnInterval is the minimum time between log entries about the certificate's expiry.
	expiryWarnInterval = time.Hour
	// expiryWarnDivisor starts the warnings in the last fifth of the certificate's lifetime.
	expiryWarnDivisor = 5
)

// poll reloads changed files and logs a certificate that is about to expire. Links stay open for weeks, so without polling
// a fault in new files or a certificate that was not renewed would show only when links break and none can be opened.
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
	modTimes, err := k.statFiles()
	if err != nil {
		return nil, err
	}
	if err := k.load(); err != nil {
		return nil, err
	}
	k.modTimes = modTimes
	return k, nil
}

func (k *keys) statFiles() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, pomelorelay.NewError(pomelorelay.CodeMeshTLS, "cannot stat key file", err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (k *keys) load() error {
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "cannot load key pair", err)
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "cannot read authority file", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "no certificate in the authority file", nil)
	}
	k.certificate, k.authority = certificate, authority
	return nil
}

// refresh reloads the files if they changed. When they are incomplete or do not match, the former keys stay in use and
// the files are retried at the next handshake or poll.
func (k *keys) refresh() {
	modTimes, err := k.statFiles()
	if err == nil && modTimes == k.modTimes {
		return
	}
	if err == nil {
		err = k.load()
	}
	if err != nil {
		k.logger.Log(pomelorelay.EventMeshKeysBad, pomelorelay.Field{Key: "Error", Value: err.Error()})
		return
	}
	k.modTimes = modTimes
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
