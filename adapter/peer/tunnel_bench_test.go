package peer_test

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
)

// startEcho serves a carrier before a server that sends back what it gets.
func startEcho(b *testing.B) (*peer.Client, string) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	gateway := carryingGateway{dial: func() (net.Conn, error) { return net.Dial("tcp", server.Addr().String()) }}
	go func() { _ = peer.NewGatewayServer(gateway).Serve(b.Context(), l, nil) }()
	client := peer.NewClient(nil)
	b.Cleanup(func() { _ = client.Close() })
	return client, l.Addr().String()
}

// BenchmarkOpenTunnel opens and closes a tunnel.
func BenchmarkOpenTunnel(b *testing.B) {
	client, carrier := startEcho(b)
	for b.Loop() {
		conn, err := client.OpenTunnel(b.Context(), carrier, "server", "self")
		must.NoError(b, err)
		must.NoError(b, conn.Close())
	}
}

// BenchmarkTunnel sends an event of 130 bytes through a tunnel and back.
func BenchmarkTunnel(b *testing.B) {
	client, carrier := startEcho(b)
	conn, err := client.OpenTunnel(b.Context(), carrier, "server", "self")
	must.NoError(b, err)
	event := make([]byte, 130)
	for b.Loop() {
		_, err := conn.Write(event)
		must.NoError(b, err)
		_, err = io.ReadFull(conn, event)
		must.NoError(b, err)
	}
}
