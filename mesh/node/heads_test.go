package node

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// rawHead is a head of HTTP/1.1 as it was read: its first line, and its fields without the
// white space around the values.
type rawHead struct {
	line   string
	fields map[string][]string
}

func readRawHead(r *bufio.Reader) (rawHead, error) {
	h := rawHead{fields: map[string][]string{}}
	for n := 0; ; n++ {
		line, err := r.ReadString('\n')
		if err != nil {
			return h, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if n == 0 {
			h.line = line
			continue
		}
		if line == "" {
			return h, nil
		}
		name, value, _ := strings.Cut(line, ":")
		name = http.CanonicalHeaderKey(name)
		h.fields[name] = append(h.fields[name], strings.Trim(value, " \t"))
	}
}

// echoedHeads is a backend server that answers each request with the request's fields whose
// names begin with X- and with a body of trailers, and that keeps the head that it got last.
type echoedHeads struct{ got atomic.Pointer[rawHead] }

func (s *echoedHeads) serve(c net.Conn, r *bufio.Reader) {
	for {
		h, err := readRawHead(r)
		if err != nil {
			return
		}
		s.got.Store(&h)
		var b bytes.Buffer
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n")
		for _, name := range slices.Sorted(maps.Keys(h.fields)) {
			for _, v := range h.fields[name] {
				if strings.HasPrefix(name, "X-") {
					b.WriteString(name + ": " + v + "\r\n")
				}
			}
		}
		b.WriteString("\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n")
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
	}
}

// carryHead sends a head through two nodes, and compares what the backend server and the
// caller get with what was sent.
func carryHead(t *testing.T, n *twoNodes, server *echoedHeads, target string, fields [][2]string) {
	t.Helper()
	want := map[string][]string{}
	request := "GET " + target + " HTTP/1.1\r\nHost: mesh.example\r\n"
	for _, f := range fields {
		request += f[0] + ": " + f[1] + "\r\n"
		name := http.CanonicalHeaderKey(f[0])
		want[name] = append(want[name], f[1])
	}
	server.got.Store(nil)
	resp, err := n.exchange(t, request+"\r\n")
	if err != nil {
		t.Fatalf("%s with %d fields: %v", target, len(fields), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(body) != "ok" {
		t.Fatalf("%s with %d fields: status %d, body %q, error %v", target, len(fields), resp.StatusCode, body, err)
	}
	got := server.got.Load()
	if got.line != "GET "+target+" HTTP/1.1" || got.fields["Host"][0] != "mesh.example" {
		t.Errorf("%q arrived as %q for %q", target, got.line, got.fields["Host"])
	}
	for name, values := range want {
		if !slices.Equal(got.fields[name], values) {
			t.Errorf("%s: %.200q arrived as %.200q", name, values, got.fields[name])
		}
		if !slices.Equal(resp.Header[name], values) {
			t.Errorf("%s: %.200q came back as %.200q", name, values, resp.Header[name])
		}
	}
	if resp.Header.Get("Content-Type") != "" {
		t.Errorf("Content-Type %q was added", resp.Header.Get("Content-Type"))
	}
}

// Guards against heads that a node changes, or that end the calls of others, because a codec
// between the nodes does not carry what HTTP allows.
func TestHeadsArriveByteForByte(t *testing.T) {
	server := &echoedHeads{}
	n := startTwoNodes(t, server.serve)
	var many, large [][2]string
	for i := range 3000 {
		many = append(many, [2]string{"X-" + strconv.Itoa(i), ""})
	}
	for range 15 {
		large = append(large, [2]string{"X-Large", strings.Repeat("y", 4000)})
	}
	for target, fields := range map[string][][2]string{
		"/virtual/latin-1":                      {{"X-Note", "caf\xe9"}, {"X-Bytes", "\x80\xff\xfe"}},
		"/virtual/empty":                        {{"X-Empty", ""}, {"X-Empty", ""}, {"X-Repeated", "a"}, {"X-Repeated", ""}, {"X-Repeated", "b, c"}},
		"/virtual/names":                        {{"X-!#$%&'*+.^_`|~", "v"}, {"X-" + strings.Repeat("n", 500), "v"}},
		"/virtual/many":                         many,
		"/virtual/large":                        large,
		"/virtual/a|b{c}\"d\"^`<e>\\?q={1}|[2]": {{"X-A", "b"}},
		"/virtual/caf\xe9?q=\xff":               {{"X-A", "b"}},
		"/virtual/%e9%2F../x":                   {{"X-A", "b"}},
		"/virtual/a?":                           {{"X-A", "b"}},
		"/virtual/a?b#c":                        {{"X-A", "b"}},
		"/virtual/;a=b,c@d:e/":                  {{"X-A", "b"}},
	} {
		carryHead(t, n, server, target, fields)
	}
}

// Guards against any other head that HTTP allows and that two nodes do not carry unchanged.
func FuzzHeads(f *testing.F) {
	server := &echoedHeads{}
	n := startTwoNodes(f, server.serve)
	f.Add("a", "X-Note", []byte("caf\xe9"), []byte(""))
	f.Add("a|b?c=\xff", "X-A.B", []byte("\t"), []byte("a,b"))
	f.Fuzz(func(t *testing.T, target, name string, first, second []byte) {
		target = "/virtual/" + target
		name = "X-" + name
		if strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) || !httpguts.ValidHeaderFieldName(name) {
			return
		}
		for _, v := range [][]byte{first, second} {
			if !httpguts.ValidHeaderFieldValue(string(v)) || strings.Trim(string(v), " \t") != string(v) {
				return
			}
		}
		if len(target)+len(name)+len(first)+len(second) > 60<<10 {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"))); err != nil {
			return
		}
		carryHead(t, n, server, target, [][2]string{{name, string(first)}, {name, string(second)}})
	})
}
