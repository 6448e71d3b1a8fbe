package pomelomesh

import (
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
)

// SendToAddr sends a message to whichever router answers at the address, without waiting for it; it fails with
// CodeMeshMalformed. An unreachable router is logged, and a message to an address that is already being contacted is
// dropped. With mutual TLS the connection fails unless the router's certificate is valid for the IP address, because the
// router's node name is unknown.
func (m *Mesh) SendToAddr(addr netip.AddrPort, message pomelorelay.Message) error {
	data, err := EncodeMessage(message)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.contactsInProgress[addr] {
		return nil
	}
	m.contactsInProgress[addr] = true
	m.running.Go(func() {
		m.contact(addr, &queuedMessage{data: data, key: message.CoalesceKey(), urgency: message.Urgency()})
	})
	return nil
}

func (m *Mesh) contact(addr netip.AddrPort, item *queuedMessage) {
	l, err := m.open(pomelorelay.Peer{Addr: addr})
	if err == nil {
		m.kinds.record(item.data)
		err = l.peer.send(item)
	}
	if err != nil {
		m.cfg.Logger.Log(pomelorelay.EventMeshLinkDown, pomelorelay.Field{Key: "Address", Value: addr.String()}, pomelorelay.Field{Key: "Error", Value: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.contactsInProgress, addr)
}
