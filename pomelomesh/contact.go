package pomelomesh

import (
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
)

// SendToAddr sends a message to whichever router answers at an address, and returns at once; one that cannot be reached is logged, and
// a message to an address that is being dialled already is dropped. It fails with CodeMeshMalformed. A mesh with certificates refuses
// routers whose names it does not know.
func (m *Mesh) SendToAddr(addr netip.AddrPort, message pomelorelay.Message) error {
	data, err := EncodeMessage(message)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.contacting[addr] {
		return nil
	}
	m.contacting[addr] = true
	m.running.Go(func() { m.contact(addr, &queued{data: data, key: message.CoalesceKey(), urgency: message.Urgency()}) })
	return nil
}

func (m *Mesh) contact(addr netip.AddrPort, item *queued) {
	l, err := m.open(pomelorelay.Peer{Addr: addr})
	if err == nil {
		m.kinds.note(item.data)
		err = l.peer.send(item)
	}
	if err != nil {
		m.cfg.Logger.Log(pomelorelay.EventMeshLinkDown, pomelorelay.Field{Key: "Address", Value: addr.String()}, pomelorelay.Field{Key: "Error", Value: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.contacting, addr)
}
