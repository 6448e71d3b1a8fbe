package pomeloentry_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// BenchmarkRefuse refuses a request on a new connection. NetHTTP has a folded header line, so it passes the parser of net/http. Accept has no request.
// cpu-us/op is the processor time of router and caller together; that of Accept is to be subtracted for a comparison.
func BenchmarkRefuse(b *testing.B) {
	_, n := overloaded(b)
	folded := func(r []byte) []byte {
		return bytes.Replace(r, []byte("Accept: */*\r\n"), []byte("Accept: */*,\r\n text/plain\r\nConnection: close\r\n"), 1)
	}
	for name, request := range map[string][]byte{
		"Accept": nil, "Screened/1KB": rawRequest(1 << 10), "Screened/48KB": rawRequest(48 << 10), "NetHTTP/1KB": folded(rawRequest(1 << 10)), "NetHTTP/48KB": folded(rawRequest(48 << 10)),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				n.router.Overload()
				if err := callOnce(n.settings.CallerAddr, request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// callOnce sends the request on a new connection and reads the response; without a request it only connects.
func callOnce(addr netip.AddrPort, request []byte) error {
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if request == nil {
		return nil
	}
	if _, err := conn.Write(request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
