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

// newKeyedFleet prepares a fleet on real links with mutual TLS; its routers are not started.
func newKeyedFleet(t *testing.T, routers int) (*fleet, *authority, []string) {
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
		trust(dir, signer)
		s.TLS = keyFiles(dir)
		dirs = append(dirs, dir)
		f.routers = append(f.routers, &router{settings: s, log: &eventLog{}, url: "http://" + s.Listen.Caller.String(), operator: "http://" + s.Listen.Operator.String()})
	}
	f.listHosts()
	return f, signer, dirs
}

// sees reports whether a router counts as many live members as given, itself included.
func (r *router) sees(members int) bool {
	return len(r.readStatus().Members) == members
}

func TestRoutersSpeakByMutualTLS(t *testing.T) {
	f, _, _ := newKeyedFleet(t, 4)
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	for _, r := range f.routers {
		await(t, "a router sees all four", func() bool { return r.sees(4) })
		if got := r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chat); !whole(got) {
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
	await(t, "a link without TLS is refused with a numbered event", func() bool {
		return f.routers[0].log.count(pomelorelay.EventMeshRefused) > 0
	})
}

func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	// The authority's certificate ends soon and the operators go over to another in three steps, as the operators' page says.
	// A router that read its files at its start only would lose every link at its next reconnect, and the fleet would fall
	// apart at the old authority's end.
	f, first, dirs := newKeyedFleet(t, 3)
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	second := newAuthority(t)
	for _, dir := range dirs {
		trust(dir, first, second)
	}
	for i, dir := range dirs {
		second.issue(dir, f.routers[i].settings.Host.Name)
	}
	for _, dir := range dirs {
		trust(dir, second)
	}
	// A fourth router that knows the new authority only has to find the others, and they it.
	s := f.settings(3)
	dir := t.TempDir()
	second.issue(dir, s.Host.Name)
	trust(dir, second)
	s.TLS = keyFiles(dir)
	f.routers = append(f.routers, &router{settings: s, log: &eventLog{}, url: "http://" + s.Listen.Caller.String(), operator: "http://" + s.Listen.Operator.String()})
	f.listHosts()
	f.start(3)
	f.awaitReady()
	for _, r := range f.routers {
		await(t, "a router sees all four", func() bool { return r.sees(4) })
	}
	// A router reads the files at its next handshake; the one of the newcomer's own failure domain has had one.
	await(t, "the change is logged", func() bool { return f.routers[1].log.count(pomelorelay.EventMeshKeysChanged) > 0 })
}

func TestRouterOfAnotherAuthorityIsKeptOut(t *testing.T) {
	// A host of somebody else's fleet, or an attacker's, stands on the host list with a certificate of another authority. Let in,
	// it could report service in any account's name and take grants; kept out without a word, operators would look for it in vain.
	f, _, _ := newKeyedFleet(t, 3)
	stranger := newAuthority(t)
	dir := t.TempDir()
	stranger.issue(dir, f.routers[2].settings.Host.Name)
	trust(dir, stranger)
	f.routers[2].settings.TLS = keyFiles(dir)
	for i := range f.routers {
		f.start(i)
	}
	for _, r := range f.routers[:2] {
		await(t, "a proper router is ready", r.node.Ready)
		await(t, "the stranger is refused with a numbered event", func() bool { return r.log.count(pomelorelay.EventMeshRefused) > 0 })
		await(t, "the proper routers see each other alone", func() bool { return r.sees(2) })
	}
	if !f.routers[2].sees(1) {
		t.Errorf("the stranger sees %d members", len(f.routers[2].readStatus().Members))
	}
}

func TestUnusableKeysKeepARouterFromStarting(t *testing.T) {
	// A settings file without keys, or with the wrong ones, must not lead to a router that speaks in the clear, nor to one that
	// runs alone.
	f, _, dirs := newKeyedFleet(t, 1)
	other := t.TempDir()
	stranger := newAuthority(t)
	stranger.issue(other, "other")
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
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestEndingCertificateIsTold(t *testing.T) {
	// Nobody replaced a router's certificate. Its links stay open past the end, and only when one breaks is the router alone.
	f, signer, dirs := newKeyedFleet(t, 2)
	signer.left = 10 * time.Minute
	signer.issue(dirs[1], f.routers[1].settings.Host.Name)
	for i := range f.routers {
		f.start(i)
	}
	await(t, "the end is told", func() bool { return f.routers[1].log.count(pomelorelay.EventMeshKeysEnding) > 0 })
	if n := f.routers[0].log.count(pomelorelay.EventMeshKeysEnding); n != 0 {
		t.Errorf("the end of a certificate with half its life left was told %d times", n)
	}
}
