package e2e_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/standin"
)

// TestInvalidInput sends each kind of invalid request to a node's client listener: the
// response is an error with a stable code, and nothing runs.
func TestInvalidInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	good := chatBody("brief", "x")
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     string
	}{
		{"no key", "GET", "/v1/models", "", []string{"Authorization", ""}, 401, "unauthorized"},
		{"wrong key", "GET", "/v1/models", "", []string{"Authorization", "Bearer no"}, 401, "unauthorized"},
		{"operator key", "GET", "/v1/models", "", []string{"Authorization", "Bearer " + operatorKey}, 401, "unauthorized"},
		{"no route", "GET", "/v1/none", "", nil, 404, "route_not_found"},
		{"malformed JSON", "POST", "/v1/chat/completions", "{", nil, 400, "invalid"},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, "invalid"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"brief"}`, nil, 400, "invalid"},
		{"content of a wrong type", "POST", "/v1/chat/completions", `{"model":"brief","messages":[{"content":3}]}`, nil, 400, "invalid"},
		{"unknown model", "POST", "/v1/chat/completions", chatBody("none", "x"), nil, 404, "model_not_found"},
		{"model of another account", "POST", "/v1/chat/completions", chatBody("small", "x"), []string{"Authorization", "Bearer " + otherKey}, 404, "model_not_found"},
		{"version of another account", "POST", "/v1/chat/completions", chatBody("brief@v2", "x"), []string{"Authorization", "Bearer " + otherKey}, 404, "model_not_found"},
		{"retired version", "POST", "/v1/chat/completions", chatBody("brief@v2", "x"), nil, 410, "version_withdrawn"},
		{"invalid request ID", "POST", "/v1/chat/completions", good, []string{"Idempotency-Key", "a/b~1"}, 400, "invalid"},
		{"request ID too long", "POST", "/v1/chat/completions", good, []string{"Idempotency-Key", strings.Repeat("a", 200)}, 400, "invalid"},
		{"invalid session ID", "POST", "/v1/chat/completions", good, []string{"X-Session-Id", "a b"}, 400, "invalid"},
		{"invalid timeout", "POST", "/v1/chat/completions", good, []string{"X-Timeout-Ms", "soon"}, 400, "invalid"},
		{"body too large", "POST", "/v1/chat/completions", chatBody("brief", strings.Repeat("x", 2<<20)), nil, 413, "body_too_large"},
		{"unknown service", "GET", "/v1/services/none/x", "", nil, 404, "service_not_found"},
		{"service of another account", "GET", "/v1/services/records/x", "", []string{"Authorization", "Bearer " + otherKey}, 404, "service_not_found"},
		{"undeclared call", "DELETE", "/v1/services/records/x", "", nil, 404, "call_not_declared"},
		{"no idempotency key for a non-idempotent call", "POST", "/v1/services/records/proofs", "{}", nil, 400, "key_missing"},
		{"unknown request", "GET", "/v1/requests/none", "", nil, 404, "request_not_found"},
		{"request of another account", "GET", "/v1/requests/mine", "", []string{"Authorization", "Bearer " + otherKey}, 404, "request_not_found"},
		{"ID of another request", "POST", "/v1/chat/completions", chatBody("brief", "other"), []string{"Idempotency-Key", "mine"}, 422, "id_reused"},
	}
	must.True(t, f.chat(f.nodes[1], "brief", "mine", "Idempotency-Key", "mine").complete())
	runsBefore := len(f.runsByRequestID(f.engineAddrs))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := f.call(context.Background(), f.nodes[0], tt.method, tt.path, tt.body, tt.headers...)
			must.NoError(t, r.err)
			must.Eq(t, tt.status, r.status, must.Sprint(r.body))
			must.Eq(t, tt.code, r.code, must.Sprint(r.body))
		})
	}
	must.Eq(t, runsBefore, len(f.runsByRequestID(f.engineAddrs)), must.Sprint("an invalid request must not run"))
	must.Eq(t, 0, len(f.runsByRequestID(f.plainAddrs)))
	metrics := string(f.get(f.nodes[0].operatorAddr, "/metrics"))
	must.StrContains(t, metrics, `reason="model_not_found"`)
}

// TestInvalidEngineResponses checks what clients get when an engine's response is
// malformed, too large, a redirect, an error or truncated.
func TestInvalidEngineResponses(t *testing.T) {
	t.Parallel()
	// The handler is atomic, as nodes poll the load while a test case replaces it.
	var handler atomic.Pointer[http.HandlerFunc]
	engine := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = w.Write([]byte("{}"))
			return
		}
		(*handler.Load())(w, r)
	}), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", freeAddress(t))
	must.NoError(t, err)
	go func() { _ = engine.Serve(listener) }()
	t.Cleanup(func() { engine.Close() })
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, plainServices: 1})
	f.engineAddrs = []string{listener.Addr().String()}
	f.apply(f.newConfig(nil))
	f.waitFor("the engine in the configuration of all nodes", func() bool { return f.revisionInForce(2, f.nodes...) })
	tests := []struct {
		name, model string
		stream      bool
		handler     http.HandlerFunc
		status      int
		code, ran   string
	}{
		{"not JSON", "brief", false, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, 502, "server_failed", "unknown"},
		{"too large", "brief", false, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 3<<20)) }, 502, "answer_too_large", "yes"},
		{"redirect", "brief", false, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, 307, "", ""},
		{"error of the engine", "brief", false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(400)
			_, _ = w.Write([]byte(`{"error":{"code":"context_length_exceeded"}}`))
		}, 400, "context_length_exceeded", ""},
		{"truncated stream", "brief", true, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"))
		}, 200, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handler.Store(&tt.handler)
			body := `{"model":"brief","stream":false,"messages":[{"role":"user","content":"x"}]}`
			if tt.stream {
				body = strings.Replace(body, "false", "true", 1)
			}
			noRedirect := &http.Client{Timeout: waitTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
			request, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].clientAddr+"/v1/chat/completions", strings.NewReader(body))
			must.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+accountKey)
			response, err := noRedirect.Do(request)
			must.NoError(t, err)
			defer response.Body.Close()
			var got struct{ Error struct{ Code, Ran string } }
			if tt.stream {
				data := new(strings.Builder)
				buffer := make([]byte, 4096)
				for n, err := response.Body.Read(buffer); ; n, err = response.Body.Read(buffer) {
					data.Write(buffer[:n])
					if err != nil {
						break
					}
				}
				must.StrNotContains(t, data.String(), "[DONE]", must.Sprint("a truncated stream must not look complete"))
				must.StrContains(t, data.String(), "server_failed")
			} else {
				_ = json.NewDecoder(response.Body).Decode(&got)
			}
			must.Eq(t, tt.status, response.StatusCode)
			must.Eq(t, tt.code, got.Error.Code)
			must.Eq(t, tt.ran, got.Error.Ran)
		})
	}
}

// TestLostResponses makes a plain service run calls and drop its responses: a
// non-idempotent call is not repeated, and no client is told that it did not run.
func TestLostResponses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	f.setFault(f.plainAddrs[0], standin.Fault{DropResponses: true})
	for _, n := range f.nodes {
		r := f.postProof(n, "lost-1")
		must.Eq(t, "outcome_unknown", r.code, must.Sprint(r.body))
		must.Eq(t, "unknown", r.ran)
	}
	read := f.call(context.Background(), f.nodes[0], http.MethodGet, "/v1/services/records/manifests/7", "")
	must.Eq(t, "unknown", read.ran, must.Sprint(read.body))
	f.setFault(f.plainAddrs[0], standin.Fault{})
	must.Eq(t, "outcome_unknown", f.postProof(f.nodes[1], "lost-1").code)
	must.Len(t, 1, f.runsByRequestID(f.plainAddrs)["lost-1"])
	f.setFault(f.plainAddrs[0], standin.Fault{Down: true})
	for _, n := range f.nodes {
		must.NotEq(t, "no", f.postProof(n, "lost-2").ran, must.Sprint("a broken connection does not prove that nothing ran"))
	}
}

// TestNotRunOnlyForUnusedID makes a node refuse requests before it claims their IDs:
// "not run" is reported for an ID that has not run, and never for one that has.
func TestNotRunOnlyForUnusedID(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	must.True(t, f.postProof(f.nodes[0], "ran-before").complete())
	f.apply(f.newConfig(func(c *config.Config) { c.Accounts[0].Models = []string{"small"} }))
	f.waitFor("the change on all nodes", func() bool { return f.revisionInForce(2, f.nodes...) })
	must.Eq(t, "no", f.chat(f.nodes[1], "brief", "x", "Idempotency-Key", "new").ran)
	must.Eq(t, "unknown", f.chat(f.nodes[1], "brief", "x", "Idempotency-Key", "ran-before").ran)
	oldID := "01850000-0000-7000-8000-000000000001"
	must.Eq(t, "outcome_unknown", f.postProof(f.nodes[2], oldID).code, must.Sprint("a UUIDv7 from 2022"))
	must.MapNotContainsKey(t, f.runsByRequestID(f.plainAddrs), oldID)
}

// TestInvalidSettings starts nodes with invalid settings: the process names every
// fault and exits with code 2.
func TestInvalidSettings(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, settings, env, want string }{
		{"several faults", `{
  "name": "a",
  "caller": {"listen": "localhost:80"},
  "operator": {"listen": "127.0.0.1:1"},
  "peer": {"listen": "10.0.0.1:1"},
  "platform": {"key_value": ["x"], "vm_list": "http://127.0.0.1:1"}
}`, "", "4 faults"},
		{"unknown field", `{"nmae": "a"}`, "", `s.json:1:2: /nmae: unknown field "nmae"`},
		{"invalid environment variable", `{"name": "a", "data_hall": "h", "caller": {"listen": "127.0.0.1:1"}, "operator": {"listen": "127.0.0.1:2"}, "peer": {"listen": "127.0.0.1:3"}, "platform": {"key_value": ["http://127.0.0.1:4"], "vm_list": "http://127.0.0.1:5"}}`,
			"VIOLETTALLY_CALLER_LISTEN=nowhere", `/caller/listen: want IP:PORT, found "nowhere"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.json")
			must.NoError(t, os.WriteFile(file, []byte(tt.settings), 0o600))
			cmd := exec.Command(filepath.Join(binDir, "violettally"), "serve", "--settings", file)
			cmd.Env = append(os.Environ(), tt.env)
			out, err := cmd.CombinedOutput()
			must.Error(t, err)
			must.Eq(t, 2, cmd.ProcessState.ExitCode())
			must.StrContains(t, strings.ReplaceAll(string(out), filepath.Dir(file)+"/", ""), tt.want)
		})
	}
}

// testCA is a certificate authority that issues the certificates of the nodes.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newTestCA creates an authority and writes its certificate to authority.pem.
func newTestCA(t *testing.T) *testCA {
	c := &testCA{t: t, dir: t.TempDir()}
	var err error
	c.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c.cert, c.cert, &c.key.PublicKey, c.key)
	must.NoError(t, err)
	c.writePEM("authority.pem", "CERTIFICATE", der)
	return c
}

// writePEM writes a PEM file and returns its path.
func (c *testCA) writePEM(name, pemType string, der []byte) string {
	file := filepath.Join(c.dir, name)
	must.NoError(c.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der}), 0o600))
	return file
}

// issue writes a certificate of the authority for a node on 127.0.0.1 and its key, and
// returns the paths of both and of the authority's certificate.
func (c *testCA) issue(name string) (certificate, key, authority string) {
	nodeKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(c.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &nodeKey.PublicKey, c.key)
	must.NoError(c.t, err)
	keyDER, err := x509.MarshalECPrivateKey(nodeKey)
	must.NoError(c.t, err)
	return c.writePEM(name+".pem", "CERTIFICATE", der), c.writePEM(name+".key", "EC PRIVATE KEY", keyDER), filepath.Join(c.dir, "authority.pem")
}

// TestPeerMutualTLS sends requests through nodes that use mutual TLS between them, and
// checks that a node rejects a connection without a certificate of the authority.
func TestPeerMutualTLS(t *testing.T) {
	t.Parallel()
	spec := defaultSpec
	spec.issueCertificate = newTestCA(t).issue
	f := newFleet(t, spec)
	must.True(t, f.postProof(f.nodes[0], "tls-1").complete())
	must.Eq(t, f.postProof(f.nodes[0], "tls-1").body, f.postProof(f.nodes[1], "tls-1").body)
	foreignCert, _, _ := newTestCA(t).issue("stranger")
	must.FileExists(t, foreignCert)
	conn, err := tls.Dial("tcp", f.nodes[0].peerAddr, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	must.ErrorContains(t, err, "certificate")
}
