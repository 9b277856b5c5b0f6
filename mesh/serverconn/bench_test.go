package serverconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkExchange measures a small request and its answer over a kept connection.
func BenchmarkExchange(b *testing.B) {
	for name, answer := range map[string]string{
		"length":  "Content-Length: 100\r\n\r\n" + string(make([]byte, 100)),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n64\r\n" + string(make([]byte, 100)) + "\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			whole := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:00:00 GMT\r\nContent-Type: application/json\r\nX-Standin-Version: v1\r\nX-Standin-Host: h1\r\nX-Request: 1\r\n" + answer)
			c := faultyServer(b, func(c net.Conn, r *bufio.Reader) {
				for {
					for line := []byte("line"); len(line) > len("\r\n"); {
						var err error
						if line, err = r.ReadSlice('\n'); err != nil {
							return
						}
					}
					if _, err := c.Write(whole); err != nil {
						return
					}
				}
			})
			req, err := http.NewRequest(http.MethodGet, "http://server/", nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				resp, err := c.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
