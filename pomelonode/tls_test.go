package pomelonode_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomelonode"
)

// newTLSFleet returns a fleet on TCP links with mutual TLS, its authority and the routers' key directories; the routers are not
// started.
func newTLSFleet(t *testing.T, routers int) (*fleet, *authority, []string) {
	f := &fleet{
		t:        t,
		store:    pomelofake.NewStore(pomelofake.StoreConfig{}),
		hosts:    pomelofake.NewHostList(pomelofake.HostListConfig{}),
		engines:  make(map[pomelorelay.DomainID]*pomelofake.Engine),
		bookings: make(map[pomelorelay.DomainID]*pomelofake.PlainService),
		statuses: make(map[pomelorelay.DomainID]*pomelofake.PlainService),
	}
	f.storeAddr = f.serve(f.store)
	f.hostsAddr = f.serve(f.hosts)
	f.content = f.configuration()
	f.publish("first")
	signer := newAuthority(t)
	var dirs []string
	for i := range routers {
		s := f.settings(i)
		dir := t.TempDir()
		signer.issue(dir, s.Host.Name)
		writeAuthorities(dir, signer)
		s.TLS = keyFiles(dir)
		dirs = append(dirs, dir)
		f.routers = append(f.routers, &router{settings: s, log: &eventLog{}, url: "http://" + s.Listen.Caller.String(), operator: "http://" + s.Listen.Operator.String()})
	}
	f.publishHosts()
	return f, signer, dirs
}

// seesMembers reports whether a router sees the given number of live members, including itself.
func (r *router) seesMembers(members int) bool {
	return len(r.readStatus().Members) == members
}

func TestRoutersConnectWithMutualTLS(t *testing.T) {
	f, _, _ := newTLSFleet(t, 4)
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	for _, r := range f.routers {
		await(t, "a router sees all four", func() bool { return r.seesMembers(4) })
		if got := r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chat); !isCompleteStream(got) {
			t.Errorf("a stream was answered %d %v: %s", got.status, got.err, got.body)
		}
	}
	plain, err := net.Dial("tcp", f.routers[0].settings.Listen.Control.String())
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	if _, err := plain.Write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	await(t, "a link without TLS is refused and logged", func() bool {
		return f.routers[0].log.count(pomelorelay.EventMeshRefused) > 0
	})
}

func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	// Operators replace an authority whose certificate expires soon, in three steps as documented. A router that read its files only at
	// startup would fail its next handshakes, and the fleet would lose its links when the old authority expires.
	f, first, dirs := newTLSFleet(t, 3)
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	second := newAuthority(t)
	for _, dir := range dirs {
		writeAuthorities(dir, first, second)
	}
	for i, dir := range dirs {
		second.issue(dir, f.routers[i].settings.Host.Name)
	}
	for _, dir := range dirs {
		writeAuthorities(dir, second)
	}
	// A fourth router that trusts only the new authority must be able to connect to the others in both directions.
	s := f.settings(3)
	dir := t.TempDir()
	second.issue(dir, s.Host.Name)
	writeAuthorities(dir, second)
	s.TLS = keyFiles(dir)
	f.routers = append(f.routers, &router{settings: s, log: &eventLog{}, url: "http://" + s.Listen.Caller.String(), operator: "http://" + s.Listen.Operator.String()})
	f.publishHosts()
	f.start(3)
	f.awaitReady()
	for _, r := range f.routers {
		await(t, "a router sees all four", func() bool { return r.seesMembers(4) })
	}
	// A router reads its key files again at its next handshake. Router 1, in the new router's failure domain, has had a handshake with the
	// new router.
	await(t, "the change is logged", func() bool { return f.routers[1].log.count(pomelorelay.EventMeshKeysChanged) > 0 })
}

func TestRouterOfUntrustedAuthorityIsRefused(t *testing.T) {
	// A host of another fleet, or of an attacker, is on the host list with a certificate of an untrusted authority. If accepted, that host
	// could report usage for any account and take grants; if refused without an event, operators could not find the cause.
	f, _, _ := newTLSFleet(t, 3)
	untrusted := newAuthority(t)
	dir := t.TempDir()
	untrusted.issue(dir, f.routers[2].settings.Host.Name)
	writeAuthorities(dir, untrusted)
	f.routers[2].settings.TLS = keyFiles(dir)
	for i := range f.routers {
		f.start(i)
	}
	for _, r := range f.routers[:2] {
		await(t, "a trusted router is ready", r.node.Ready)
		await(t, "the untrusted router is refused and logged", func() bool { return r.log.count(pomelorelay.EventMeshRefused) > 0 })
		await(t, "the trusted routers see only each other", func() bool { return r.seesMembers(2) })
	}
	if !f.routers[2].seesMembers(1) {
		t.Errorf("the untrusted router sees %d members, want 1", len(f.routers[2].readStatus().Members))
	}
}

func TestUnusableKeysPreventStart(t *testing.T) {
	// A router whose settings have missing or wrong keys must not start: it would communicate without TLS or run without links to other
	// routers.
	f, _, dirs := newTLSFleet(t, 1)
	other := t.TempDir()
	otherAuthority := newAuthority(t)
	otherAuthority.issue(other, "other")
	files := keyFiles(dirs[0])
	mixed := files
	mixed.KeyFile = keyFiles(other).KeyFile
	absent := files
	absent.CertFile += ".absent"
	noAuthority := files
	noAuthority.AuthorityFile = files.KeyFile
	for _, c := range []struct {
		name string
		set  func(r *router)
	}{
		{"no files and not Insecure", func(r *router) { r.settings.TLS = pomeloconfig.TLSSettings{} }},
		{"certificate absent", func(r *router) { r.settings.TLS = absent }},
		{"key of another certificate", func(r *router) { r.settings.TLS = mixed }},
		{"no certificate in the authority file", func(r *router) { r.settings.TLS = noAuthority }},
	} {
		c.set(f.routers[0])
		node, err := pomelonode.New(pomelonode.Config{Settings: f.routers[0].settings})
		if err == nil {
			node.Close()
		}
		if !pomelorelay.IsErrCode(err, pomelorelay.CodeMeshTLS) {
			t.Errorf("%s: New returned %v, want CodeMeshTLS", c.name, err)
		}
	}
}

func TestExpiringCertificateIsLogged(t *testing.T) {
	// A router's certificate expires without being replaced. Open links survive the expiry, so the failure appears only when a link
	// breaks; the event must warn before that.
	f, signer, dirs := newTLSFleet(t, 2)
	signer.validFor = 10 * time.Minute
	signer.issue(dirs[1], f.routers[1].settings.Host.Name)
	for i := range f.routers {
		f.start(i)
	}
	await(t, "the approaching expiry is logged", func() bool { return f.routers[1].log.count(pomelorelay.EventMeshKeysEnding) > 0 })
	if n := f.routers[0].log.count(pomelorelay.EventMeshKeysEnding); n != 0 {
		t.Errorf("the expiry of a certificate with half its validity left was logged %d times, want 0", n)
	}
}
