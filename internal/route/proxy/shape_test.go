package proxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"golang.org/x/net/http/httpguts"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/clock"
)

// recordingBackend records the last request and the number of requests.
type recordingBackend struct {
	mu       sync.Mutex
	requests int
	uri      string
	header   http.Header
}

func (s *recordingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.uri, s.header = r.RequestURI, r.Header.Clone()
}

// Guards against requests that two servers interpret differently, headers that
// callers must not set, and keys that reach backend servers (P4).
func TestShapes(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/shapes.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(ar.Files); i += 2 {
		name := strings.TrimSuffix(ar.Files[i].Name, "/request")
		if ar.Files[i+1].Name != name+"/want" {
			t.Fatalf("%s has no want", name)
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkShapeCase(t, wireBytes(t, ar.Files[i].Data), string(ar.Files[i+1].Data))
		})
	}
}

// wireBytes converts the lines of a data file to the bytes to send.
func wireBytes(t *testing.T, data []byte) string {
	s := strings.ReplaceAll(string(data), `"`, `\"`)
	s, err := strconv.Unquote(`"` + strings.ReplaceAll(s, "\n", `\r\n`) + `"`)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func checkShapeCase(t *testing.T, request, want string) {
	backend := &recordingBackend{}
	servers, targets := newServers(t, 1, server.Config{Handler: backend})
	h := newHost(t, "a", nil, Config{}, targets...)
	c := dialRaw(t, h)
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	var problem struct{ Reason, Outcome string }
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.Header.Get("Content-Type") == problemContentType {
		if err := json.Unmarshal(body, &problem); err != nil {
			t.Error(err)
		}
	}
	if n, ok := strings.CutPrefix(want, "status 200\nreached "); ok {
		n, _, _ = strings.Cut(n, "\n")
		waitFor(t, n+" requests at the backend server", func() bool { return backend.requestCount() == n })
	}
	for line := range strings.Lines(want) {
		verb, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
		got, ok := checkExpectation(verb, arg, resp, problem.Reason, problem.Outcome, backend)
		if !ok {
			t.Errorf("want %s %s, got %q", verb, arg, got)
		}
	}
	if leaked := servers[0].LeakedKeys(); len(leaked) > 0 {
		t.Errorf("backend server saw keys %v", leaked)
	}
}

func (s *recordingBackend) requestCount() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.Itoa(s.requests)
}

func checkExpectation(verb, arg string, resp *http.Response, reason, outcome string, backend *recordingBackend) (string, bool) {
	name, value, _ := strings.Cut(arg, ": ")
	backend.mu.Lock()
	uri, sent := backend.uri, strings.Join(backend.header.Values(name), "|")
	backend.mu.Unlock()
	switch verb {
	case "status":
		return resp.Status, strconv.Itoa(resp.StatusCode) == arg
	case "reason":
		return reason, reason == arg
	case "outcome":
		return outcome, outcome == arg && resp.Header.Get(headerOutcome) == arg
	case "header":
		return resp.Header.Get(name), resp.Header.Get(name) == value
	case "reached":
		return backend.requestCount(), backend.requestCount() == arg
	case "uri":
		return uri, uri == arg
	case "sent":
		return sent, sent == value
	case "starts":
		return sent, strings.HasPrefix(sent, value)
	case "missing":
		return sent, sent == ""
	case "lower":
		got, err := strconv.Atoi(sent)
		bound, berr := strconv.Atoi(value)
		return sent, err == nil && berr == nil && got < bound
	}
	return "unknown verb", false
}

// Checks that the leak check of TestShapes detects a key at the backend server.
func TestLeakOracle(t *testing.T) {
	servers, _ := newServers(t, 1, server.Config{})
	req, err := http.NewRequest(http.MethodGet, "http://"+servers[0].Addr().String()+"/x?k="+testKey, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := newClient(t, 1).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if len(servers[0].LeakedKeys()) != 1 {
		t.Fatal("the leak was not recorded")
	}
}

// FuzzGuard checks that the guard and net/http agree on where each message ends.
// Request smuggling depends on a disagreement.
func FuzzGuard(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"POST / HTTP/0.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var g guard
		src := iotest.OneByteReader(bytes.NewReader(data))
		br := bufio.NewReader(readerFunc(func(b []byte) (int, error) {
			n, err := src.Read(b)
			if passed, ok := g.scan(b[:n]); !ok {
				g.state = guardEnded
				return passed, io.EOF
			}
			return n, err
		}))
		for {
			req, err := http.ReadRequest(br)
			if err != nil || g.state == guardHTTP2 {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if g.state != guardRequestLine || len(g.line) > 0 || br.Buffered() > 0 {
				t.Fatalf("net/http ends a message where the guard is in state %d", g.state)
			}
		}
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// FuzzHeaders checks that headers derived from a caller's headers have no line
// breaks and contain no key.
func FuzzHeaders(f *testing.F) {
	f.Add("a;b", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "x:80", "k="+testKey, "id")
	f.Fuzz(func(t *testing.T, key, trace, hostName, query, id string) {
		h := http.Header{"Traceparent": {trace}, "Cookie": {query}, "Forwarded": {hostName}, headerRequestID: {id}}
		s := keyFilter{places: collectKeyPlaces(testRoutes()), key: testKey}
		fields := s.fields(new(Proxy).appendForwardable(nil, h))
		fields = appendTrace(fields, h)
		if validHost(hostName) {
			fields = appendForwarded(fields, newCaller("[::1]:7", true), hostName)
		}
		_, upstream := new(Proxy).requestIDs(h)
		fields = append(fields, field{name: "Id", value: upstream})
		for _, fd := range fields {
			for _, v := range fd.all() {
				if fd.name != "Cookie" && !singleLine(v) || strings.Contains(v, testKey) && fd.name != "Id" {
					t.Fatalf("%s: %q", fd.name, v)
				}
			}
		}
		if strings.Contains(unescape(s.query(query)), testKey) {
			t.Fatalf("query %q keeps the key", query)
		}
		if k, ok := parseIdempotencyKey([]string{key}); ok && !singleLine(k) {
			t.Fatalf("idempotency key %q", k)
		}
		_, _ = findKey(cove.KeyPlace{Header: "X-Key"}, "Bearer", &http.Request{Header: http.Header{"X-Key": {key}}})
	})
}

// FuzzHop checks that a request of another host is either refused or written to
// a backend server as exactly one request.
func FuzzHop(f *testing.F) {
	f.Add("GET", "/open/7?a=b", "x:80", "id.1", "X-A", "v")
	f.Add("POST", "/open", "x", "id", "Host", "y")
	f.Add("POST", "/open", "x", "id", "Transfer-Encoding", "chunked")
	p := New(Deps{Clock: clock.System{}}, Config{})
	p.setTable(&cove.Table{Routes: testRoutes()})
	f.Fuzz(func(t *testing.T, method, uri, hostName, id, name, value string) {
		r := httptest.NewRequest(http.MethodPost, forwardPath, nil)
		for k, v := range map[string]string{hopRoute: "open", hopMethod: method, hopTarget: uri, hopHost: hostName, hopID: id,
			hopDeadline: "100", hopBlock: "1f", hopAttempt: "1"} {
			r.Header[k] = []string{v}
		}
		if httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value) {
			r.Header.Set(name, value)
		}
		x := &exchange{r: r, w: httptest.NewRecorder()}
		defer p.endExchange(x)
		if ref := p.restoreExchange(x); ref != nil {
			return
		}
		var out bytes.Buffer
		bw := bufio.NewWriter(&out)
		if err := writeHead(bw, x, field{}, time.Second); err != nil || bw.Flush() != nil {
			return
		}
		in := bufio.NewReader(&out)
		got, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("%v in what was written", err)
		}
		if got.Method != method || got.RequestURI != uri || got.ContentLength != 0 || in.Buffered()+out.Len() > 0 {
			t.Fatalf("wrote %s %s, %d more bytes", got.Method, got.RequestURI, in.Buffered()+out.Len())
		}
	})
}
