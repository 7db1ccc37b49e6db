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

// TestInvalidInput sends each kind of bad input to the callers' door: a clear
// error with a stable code, and nothing runs.
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
		{"operator's key", "GET", "/v1/models", "", []string{"Authorization", "Bearer " + operatorKey}, 401, "unauthorized"},
		{"no route", "GET", "/v1/none", "", nil, 404, "route_not_found"},
		{"no JSON", "POST", "/v1/chat/completions", "{", nil, 400, "invalid"},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, "invalid"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"brief"}`, nil, 400, "invalid"},
		{"content of a wrong kind", "POST", "/v1/chat/completions", `{"model":"brief","messages":[{"content":3}]}`, nil, 400, "invalid"},
		{"unknown model", "POST", "/v1/chat/completions", chatBody("none", "x"), nil, 404, "model_not_found"},
		{"model of another account", "POST", "/v1/chat/completions", chatBody("small", "x"), []string{"Authorization", "Bearer " + otherKey}, 404, "model_not_found"},
		{"version of another account", "POST", "/v1/chat/completions", chatBody("brief@v2", "x"), []string{"Authorization", "Bearer " + otherKey}, 404, "model_not_found"},
		{"retired version", "POST", "/v1/chat/completions", chatBody("brief@v2", "x"), nil, 410, "version_withdrawn"},
		{"bad id", "POST", "/v1/chat/completions", good, []string{"Idempotency-Key", "a/b~1"}, 400, "invalid"},
		{"long id", "POST", "/v1/chat/completions", good, []string{"Idempotency-Key", strings.Repeat("a", 200)}, 400, "invalid"},
		{"bad session", "POST", "/v1/chat/completions", good, []string{"X-Session-Id", "a b"}, 400, "invalid"},
		{"bad timeout", "POST", "/v1/chat/completions", good, []string{"X-Timeout-Ms", "soon"}, 400, "invalid"},
		{"body too large", "POST", "/v1/chat/completions", chatBody("brief", strings.Repeat("x", 2<<20)), nil, 413, "body_too_large"},
		{"unknown service", "GET", "/v1/services/none/x", "", nil, 404, "service_not_found"},
		{"service of another account", "GET", "/v1/services/records/x", "", []string{"Authorization", "Bearer " + otherKey}, 404, "service_not_found"},
		{"undeclared call", "DELETE", "/v1/services/records/x", "", nil, 404, "call_not_declared"},
		{"no key for a call that may not be repeated", "POST", "/v1/services/records/proofs", "{}", nil, 400, "key_missing"},
		{"unknown request", "GET", "/v1/requests/none", "", nil, 404, "request_not_found"},
		{"request of another account", "GET", "/v1/requests/mine", "", []string{"Authorization", "Bearer " + otherKey}, 404, "request_not_found"},
		{"id of another request", "POST", "/v1/chat/completions", chatBody("brief", "other"), []string{"Idempotency-Key", "mine"}, 422, "id_reused"},
	}
	must.True(t, f.chat(f.nodes[1], "brief", "mine", "Idempotency-Key", "mine").complete())
	ran := len(f.runsByRequestID(f.engineAddrs))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := f.call(context.Background(), f.nodes[0], tt.method, tt.path, tt.body, tt.headers...)
			must.NoError(t, r.err)
			must.Eq(t, tt.status, r.status, must.Sprint(r.body))
			must.Eq(t, tt.code, r.code, must.Sprint(r.body))
		})
	}
	must.Eq(t, ran, len(f.runsByRequestID(f.engineAddrs)), must.Sprint("bad input must not run"))
	must.Eq(t, 0, len(f.runsByRequestID(f.plainAddrs)))
	metrics := string(f.get(f.nodes[0].operatorAddr, "/metrics"))
	must.StrContains(t, metrics, `reason="model_not_found"`)
}

// TestInvalidEngineResponses lets engines answer what no caller may be given.
func TestInvalidEngineResponses(t *testing.T) {
	t.Parallel()
	// Nodes ask for the load whenever they like, so the answer is changed under
	// requests.
	var answer atomic.Pointer[http.HandlerFunc]
	engine := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = w.Write([]byte("{}"))
			return
		}
		(*answer.Load())(w, r)
	}), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", freeAddress(t))
	must.NoError(t, err)
	go func() { _ = engine.Serve(listener) }()
	t.Cleanup(func() { engine.Close() })
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, plainServices: 1})
	f.engineAddrs = []string{listener.Addr().String()}
	f.apply(f.newConfig(nil))
	f.waitFor("the engine everywhere", func() bool { return f.revisionInForce(2, f.nodes...) })
	tests := []struct {
		name, model string
		stream      bool
		answer      http.HandlerFunc
		status      int
		code, ran   string
	}{
		{"no JSON", "brief", false, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, 502, "server_failed", "unknown"},
		{"too large", "brief", false, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 3<<20)) }, 502, "answer_too_large", "yes"},
		{"a redirect", "brief", false, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, 307, "", ""},
		{"its own error", "brief", false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(400)
			_, _ = w.Write([]byte(`{"error":{"code":"context_length_exceeded"}}`))
		}, 400, "context_length_exceeded", ""},
		{"a stream without its end", "brief", true, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"))
		}, 200, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer.Store(&tt.answer)
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
				must.StrNotContains(t, data.String(), "[DONE]", must.Sprint("a cut stream must not look whole"))
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

// TestLostResponses lets a plain service run calls and lose its answers: what may
// not be repeated is not, and nobody is told that it did not run.
func TestLostResponses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	f.setFault(f.plainAddrs[0], standin.Fault{LoseAnswers: true})
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
		must.NotEq(t, "no", f.postProof(n, "lost-2").ran, must.Sprint("a broken connection does not say that nothing ran"))
	}
}

// TestNotRunOnlyForUnusedID refuses ids for causes found before their claim: 'not
// run' is said of an id that has not run, and not of one that has.
func TestNotRunOnlyForUnusedID(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	must.True(t, f.postProof(f.nodes[0], "ran-before").complete())
	f.apply(f.newConfig(func(c *config.Config) { c.Accounts[0].Models = []string{"small"} }))
	f.waitFor("the change", func() bool { return f.revisionInForce(2, f.nodes...) })
	must.Eq(t, "no", f.chat(f.nodes[1], "brief", "x", "Idempotency-Key", "new").ran)
	must.Eq(t, "unknown", f.chat(f.nodes[1], "brief", "x", "Idempotency-Key", "ran-before").ran)
	old := "01850000-0000-7000-8000-000000000001"
	must.Eq(t, "outcome_unknown", f.postProof(f.nodes[2], old).code, must.Sprint("an id from 2022"))
	must.MapNotContainsKey(t, f.runsByRequestID(f.plainAddrs), old)
}

// TestInvalidSettings starts nodes with settings that cannot work: every fault is
// named, and the process ends.
func TestInvalidSettings(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, settings, env, want string }{
		{"all faults at once", `{
  "name": "a",
  "caller": {"listen": "localhost:80"},
  "operator": {"listen": "127.0.0.1:1"},
  "peer": {"listen": "10.0.0.1:1"},
  "platform": {"key_value": ["x"], "vm_list": "http://127.0.0.1:1"}
}`, "", "4 faults"},
		{"a typing error", `{"nmae": "a"}`, "", `s.json:1:2: /nmae: unknown field "nmae"`},
		{"a bad override", `{"name": "a", "data_hall": "h", "caller": {"listen": "127.0.0.1:1"}, "operator": {"listen": "127.0.0.1:2"}, "peer": {"listen": "127.0.0.1:3"}, "platform": {"key_value": ["http://127.0.0.1:4"], "vm_list": "http://127.0.0.1:5"}}`,
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

// testCA makes an authority and a certificate for each node.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

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

func (c *testCA) writePEM(name, kind string, der []byte) string {
	file := filepath.Join(c.dir, name)
	must.NoError(c.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

func (c *testCA) issue(name string) (certificate, key, authority string) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(c.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &own.PublicKey, c.key)
	must.NoError(c.t, err)
	keyDER, err := x509.MarshalECPrivateKey(own)
	must.NoError(c.t, err)
	return c.writePEM(name+".pem", "CERTIFICATE", der), c.writePEM(name+".key", "EC PRIVATE KEY", keyDER), filepath.Join(c.dir, "authority.pem")
}

// TestPeerMutualTLS runs the path with mutual TLS between nodes, and turns
// away who has no certificate of the authority.
func TestPeerMutualTLS(t *testing.T) {
	t.Parallel()
	s := defaultSpec
	s.issueCertificate = newTestCA(t).issue
	f := newFleet(t, s)
	must.True(t, f.postProof(f.nodes[0], "tls-1").complete())
	must.Eq(t, f.postProof(f.nodes[0], "tls-1").body, f.postProof(f.nodes[1], "tls-1").body)
	stranger, _, _ := newTestCA(t).issue("stranger")
	must.FileExists(t, stranger)
	conn, err := tls.Dial("tcp", f.nodes[0].peerAddr, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	must.ErrorContains(t, err, "certificate")
}
