package pomelocommand

import (
	"io"
	"net/netip"
	"os"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

func (a *app) readFile(path string) ([]byte, error) {
	if path == standardInput {
		data, err := io.ReadAll(io.LimitReader(a.stdin, int64(pomeloconfig.MaxDocumentBytes)+1))
		if err != nil {
			return nil, pomelorelay.NewError(pomelorelay.CodeFileUnreadable, "standard input", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeFileUnreadable, path, err)
	}
	return data, nil
}

func (a *app) readConfiguration(path string) (pomeloconfig.Configuration, error) {
	data, err := a.readFile(path)
	if err != nil {
		return pomeloconfig.Configuration{}, err
	}
	return pomeloconfig.Parse(path, data)
}

func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, pomelorelay.NewError(pomelorelay.CodeBadRequest, flag+" "+text+": give an IP number and a port, as in 10.0.0.1:8080", nil)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
