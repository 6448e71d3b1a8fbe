package pomeloentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

const (
	// upstreamProcessEnv marks a process of the test program that runs as an upstream.
	upstreamProcessEnv = "POMELORELAY_TEST_UPSTREAM"
	// upstreamStartEnv is the start time that the process reports, if it is set; its listener is then the first file that it inherits.
	upstreamStartEnv = "POMELORELAY_TEST_UPSTREAM_START"
	// processEvents is the number of events of the process's streams, and of those that it has sent of a stream that it holds.
	processEvents, processHeldEvents = 8, 3
	processBody                      = "the first half, the second half"
)

// TestMain runs the process as an upstream if a test started it as one.
func TestMain(m *testing.M) {
	if os.Getenv(upstreamProcessEnv) != "" {
		if err := runUpstreamProcess(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// runUpstreamProcess answers requests without a length until the process is killed. It writes its address to the standard output, and a line when it
// has sent the first part of an answer that it does not complete.
func runUpstreamProcess() error {
	l, err := upstreamListener()
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				conn.Close()
				return
			}
			// Unread bytes would make the kernel reset the connection when the process is killed.
			_, _ = io.Copy(io.Discard, r.Body)
			if start := os.Getenv(upstreamStartEnv); start != "" && r.URL.Path == (pomelofake.TestWireFormat{}).ReportPath() {
				// The router may have closed the connection.
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(start), start)
				conn.Close()
				return
			}
			sendUndelimited(conn, r)
		}()
	}
}

func upstreamListener() (net.Listener, error) {
	if os.Getenv(upstreamStartEnv) != "" {
		return net.FileListener(os.NewFile(3, "listener"))
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// sendUndelimited answers with a stream or a body without length, or a part of it if the path asks for that, with the connection left open.
func sendUndelimited(conn net.Conn, r *http.Request) {
	stream, held := !strings.HasPrefix(r.URL.Path, "/plain"), strings.HasSuffix(r.URL.Path, "/held")
	text, kind := processBody, "text/plain"
	if held {
		text = text[:len(text)/2]
	}
	if stream {
		text, kind = processStream(held), "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: process\r\nContent-Type: %s\r\n\r\n", pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID),
		pomelofake.TestHeaderSignedBy, kind)
	halfHead := strings.HasSuffix(r.URL.Path, "/half-head")
	if halfHead {
		head, text = head[:len(head)-len("/plain\r\n\r\n")], ""
	}
	// The router may have closed the connection.
	_, _ = io.WriteString(conn, head+text)
	if held || halfHead {
		fmt.Println("held")
		return
	}
	conn.Close()
}

// processStream returns the process's stream, or the part of it that it sends before it is killed.
func processStream(held bool) string {
	events := processEvents
	if held {
		events = processHeldEvents
	}
	var text strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return text.String()
}

// upstreamProcess is an upstream in a process of its own.
type upstreamProcess struct {
	f      *fleet
	cmd    *exec.Cmd
	output *bufio.Scanner
}

// startUpstreamProcess starts an upstream in a process of its own, and registers it in place of the one before.
func (f *fleet) startUpstreamProcess(startUnixMilli int64) *upstreamProcess {
	f.t.Helper()
	p := f.runUpstreamProcess(nil)
	f.registerProcess(p.line(), startUnixMilli)
	return p
}

func (f *fleet) registerProcess(addr string, startUnixMilli int64) {
	f.store.PutUpstream(pomelorelay.FleetUpstream{ID: "u1", Service: "s", Addr: netip.MustParseAddrPort(addr), Domain: "a", Slots: 8, StartUnixMilli: startUnixMilli})
}

// runUpstreamProcess starts an upstream in a process of its own, with variables of its environment and the files that it inherits.
func (f *fleet) runUpstreamProcess(env []string, files ...*os.File) *upstreamProcess {
	f.t.Helper()
	p := &upstreamProcess{f: f, cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(append(os.Environ(), upstreamProcessEnv+"=1"), env...)
	p.cmd.ExtraFiles = files
	p.cmd.Stderr = os.Stderr
	pipe, err := p.cmd.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		// The process may have been killed already.
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	p.output = bufio.NewScanner(pipe)
	return p
}

func (p *upstreamProcess) line() string {
	p.f.t.Helper()
	if !p.output.Scan() {
		p.f.t.Fatalf("the upstream's process ended: %v", p.output.Err())
	}
	return p.output.Text()
}

// killHolding kills the process with SIGKILL once it holds an answer; the kernel then closes its connections in order.
func (p *upstreamProcess) killHolding() {
	p.f.t.Helper()
	p.line()
	// The part that was sent has reached the router.
	time.Sleep(50 * time.Millisecond)
	if err := p.cmd.Process.Kill(); err != nil {
		p.f.t.Fatal(err)
	}
}

// callUndelimited sends a request with further header fields and returns the answer's status, what was received of its body, and whether it ended as complete.
func (f *fleet) callUndelimited(n *node, path string, fields ...string) (status int, body string, whole bool) {
	f.t.Helper()
	req, err := http.NewRequest("POST", "http://"+n.settings.CallerAddr.String()+path, strings.NewReader("x"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host, req.Close = "h.example", true
	req.Header.Set(pomelofake.TestHeaderRequestID, fmt.Sprint("req-", f.requests.Add(1)))
	req.Header.Set(pomelofake.TestHeaderCallerKey, "key")
	req.Header.Set(pomelofake.TestHeaderWait, "4000")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err == nil
}

// publishUndelimitedRoutes publishes a configuration with routes of each kind to the process; requests of streams that may be resumed have several attempts.
func (f *fleet) publishUndelimitedRoutes(attempts int) {
	f.t.Helper()
	f.store.PublishConfig(f.configWith(1, func(c *pomelorelay.FleetConfig) {
		for i := range c.Routes {
			switch r := &c.Routes[i]; r.Prefix {
			case "/plain-idempotent/":
				r.Kind = pomelorelay.RouteIdempotent
			case "/stream/":
				r.Kind = pomelorelay.RouteStream
			case "/stream-resumable/":
				r.Kind, r.Resumable, r.MaxAttempts = pomelorelay.RouteStream, true, attempts
			}
		}
	}, "/plain-once/", "/plain-idempotent/", "/stream/", "/stream-resumable/"))
}

// undelimitedCases are the routes to the process and its whole answers.
var undelimitedCases = []struct{ path, want string }{
	{"/plain-once/", processBody}, {"/plain-idempotent/", processBody}, {"/stream/", processStream(false)}, {"/stream-resumable/", processStream(false)},
}

// checkWhole sends a request whose answer ends properly and checks that the caller gets all of it.
func (f *fleet) checkWhole(n *node, path, want string) {
	f.t.Helper()
	if status, body, whole := f.callUndelimited(n, path); status != 200 || body != want || !whole {
		f.t.Errorf("%s: a complete answer was forwarded as %d %q, whole: %v", path, status, body, whole)
	}
}

// Guards against forwarding an answer without length as complete whose upstream was killed: the kernel closes the connection as at the answer's end.
func TestAnswerOfKilledUpstreamIsNotComplete(t *testing.T) {
	f := newFleet(t)
	f.publishUndelimitedRoutes(1)
	n := f.start(8 * time.Second)
	for i, c := range undelimitedCases {
		p := f.startUpstreamProcess(int64(2*i) + 1)
		f.awaitStatus(n, c.path+"whole", 200)
		f.checkWhole(n, c.path+"whole", c.want)
		go p.killHolding()
		f.checkCut(n, c.path+"held")
		p = f.startUpstreamProcess(int64(2*i) + 2)
		f.awaitStatus(n, c.path+"whole", 200)
		go p.killHolding()
		f.checkCut(n, c.path+"half-head")
	}
}

// Guards against forwarding an answer without length as complete whose upstream was killed and restarted by a supervisor that keeps its listener open:
// the address accepts connections at all times.
func TestAnswerOfRestartedUpstreamIsNotComplete(t *testing.T) {
	f := newFleet(t)
	f.publishUndelimitedRoutes(1)
	n := f.start(8 * time.Second)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	starts := int64(0)
	start := func() *upstreamProcess {
		starts++
		p := f.runUpstreamProcess([]string{fmt.Sprint(upstreamStartEnv, "=", starts)}, file)
		p.line()
		return p
	}
	for _, c := range undelimitedCases {
		p := start()
		f.registerProcess(l.Addr().String(), starts)
		f.awaitStatus(n, c.path+"whole", 200)
		f.checkWhole(n, c.path+"whole", c.want)
		restarted := make(chan *upstreamProcess)
		go func() {
			p.killHolding()
			restarted <- start()
		}()
		f.checkCut(n, c.path+"held")
		p = <-restarted
		if err := p.cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
	}
}

// checkCut sends a request whose upstream is killed under it and checks that its answer is neither complete nor one of a request that did not run.
func (f *fleet) checkCut(n *node, path string) {
	f.t.Helper()
	status, body, whole := f.callUndelimited(n, path)
	f.t.Logf("%s: status %d, %d bytes, whole: %v", path, status, len(body), whole)
	if status == 200 && whole {
		f.t.Errorf("%s: a part of an answer was forwarded as complete: %q", path, body)
	}
	if status == 429 || status == 503 {
		f.t.Errorf("%s: a request that ran was answered with %d", path, status)
	}
}
