package pomelofake

import "net"

// ServeConns listens on a free port of 127.0.0.1 and calls serve with each connection, in a goroutine of its own, until the listener is closed. It closes a
// connection once serve returns.
func ServeConns(serve func(conn *net.TCPConn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l, nil
}
