// Package engine is a client of the backend servers: model engines, which speak
// the OpenAI-compatible API with server-sent events, and plain services, which
// speak HTTP. docs/INTERFACES.md describes the extensions: stream ids and resume,
// load reports, and load orders.
//
// Errors tell whether a request may have run. It is dispatch.NotRun only if the
// request could not be built, if no connection was made, or if the server said so.
// A response that is too large is dispatch.TooLarge; any other error of a chat
// completion or a call is dispatch.Failed.
//
// # Usage
//
//	client := engine.New()
//	stream, err := client.Complete(ctx, server, call)
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/internal/duplex"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/responsehead"
	"github.com/violettally/violettally/internal/sendonce"
	"github.com/violettally/violettally/internal/tcpconn"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/placement"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/tunnel"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout must be shorter than that of the servers, or a request may be
	// sent on a connection that the server is closing.
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 64
	// notRunHeader is set in the response of a server that did not run the request.
	notRunHeader    = "X-Not-Run"
	streamHeader    = "X-Stream-Id"
	requestIDHeader = "X-Request-Id"
	// requestLimitHeader is the number of requests a second that a server in need takes from all
	// nodes together. Load reports don't count, and responses without it end the limit.
	requestLimitHeader = "X-Request-Limit"
	// rejectionLimitHeader is the number of requests a second that a server can reject for want of
	// room before it ends, from all nodes together.
	rejectionLimitHeader = "X-Rejection-Limit"
	// leavingHeader says that a server is about to end and takes no new requests.
	leavingHeader = "X-Leaving"
	// maxEventBytes is the largest size of a line of a server-sent event.
	maxEventBytes = 1 << 20
)

// noticeHeaders are the headers in which servers say something of themselves.
var noticeHeaders = notice.Headers{RequestLimit: requestLimitHeader, RejectionLimit: rejectionLimitHeader, Leaving: leavingHeader}

// Client is a client of backend servers. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// orders opens a connection for each request: an answer to an order names none.
	orders           *http.Client
	dial             func(ctx context.Context, network, address string) (net.Conn, error)
	maxResponseBytes int64
	observer         Observer
	observeConn      func(sendonce.Event)
}

// Option configures a Client in New.
type Option func(*Client)

// WithMaxResponseBytes sets the largest size of a response; the default is 1 MiB.
func WithMaxResponseBytes(n int64) Option { return func(c *Client) { c.maxResponseBytes = n } }

// Observer learns what the responses of servers say of the servers.
type Observer interface {
	// Noticed is called with what a response says of its server.
	Noticed(server config.Server, answer notice.Answer)
	// Rejected is called if a server has rejected a request for want of room.
	Rejected(server config.Server)
}

// noObserver learns nothing.
type noObserver struct{}

func (noObserver) Noticed(config.Server, notice.Answer) {}
func (noObserver) Rejected(config.Server)               {}

// WithObserver sets what learns what servers say of themselves.
func WithObserver(o Observer) Option { return func(c *Client) { c.observer = o } }

// WithDialer sets the function that opens connections to servers, in place of [DialServer].
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// WithConnObserver sets a function that is told of events on connections.
func WithConnObserver(observe func(sendonce.Event)) Option {
	return func(c *Client) { c.observeConn = observe }
}

// DialServer opens a connection to a server.
func DialServer(ctx context.Context, network, address string) (net.Conn, error) {
	return tcpconn.Dialer(&net.Dialer{Timeout: dialTimeout})(ctx, network, address)
}

const defaultMaxResponseBytes = 1 << 20

// New returns a client.
func New(options ...Option) *Client {
	c := &Client{
		maxResponseBytes: defaultMaxResponseBytes,
		observer:         noObserver{},
		dial:             DialServer,
	}
	for _, option := range options {
		option(c)
	}
	dial := sendonce.Dialer(c.dial, c.observeConn)
	short := responsehead.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	c.http = newHTTPClient(duplex.NewTransport(dial, short, responsehead.MaxBytes))
	c.orders = newHTTPClient(responsehead.NewTransport(&http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
	}))
	return c
}

// newHTTPClient returns a client that follows no redirects.
func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the idle connections to all servers.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Complete sends a chat completion to an engine.
func (c *Client) Complete(ctx context.Context, server config.Server, call dispatch.EngineCall) (dispatch.EngineStream, error) {
	body, err := engineBody(call)
	if err != nil {
		return nil, errs.Wrap(dispatch.NotRun, "complete", err, "request body")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(dispatch.NotRun, "complete", err, "server %s", server.Name)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(requestIDHeader, call.RequestID)
	request.Header.Set("X-Priority", call.Priority.String())
	response, err := c.send(request, server)
	if err != nil {
		return nil, err
	}
	return c.newStream(response, call.Stream), nil
}

// Resume continues an engine's stream after the given number of events.
func (c *Client) Resume(ctx context.Context, server config.Server, streamID string, after int, call dispatch.EngineCall) (dispatch.EngineStream, error) {
	query := url.Values{"after": {strconv.Itoa(after)}, "model": {call.Model}}
	address := server.URL + "/v1/streams/" + url.PathEscape(streamID) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errs.Wrap(dispatch.Failed, "resume", err, "server %s", server.Name)
	}
	response, err := c.send(request, server)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, errs.New(dispatch.Failed, "resume", "server %s answered %d", server.Name, response.StatusCode)
	}
	resumed := c.newStream(response, true)
	resumed.id = streamID
	return resumed, nil
}

// engineBody returns the request's body with the engine's name of the model, and
// with usage requested at the end of a stream.
func engineBody(call dispatch.EngineCall) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, err
	}
	model, err := json.Marshal(call.Model)
	if err != nil {
		return nil, err
	}
	fields["model"] = model
	if call.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}

// send sends a request and classifies its errors by whether it may have run.
func (c *Client) send(request *http.Request, server config.Server) (*http.Response, error) {
	response, err := do(c.http, request)
	if err != nil {
		kind := dispatch.Failed
		switch {
		case errs.IsOfType(err, tunnel.NoWay):
			kind = dispatch.NoWay
		case isDialError(err), errors.Is(err, errUnsent):
			kind = dispatch.NotRun
		}
		return nil, errs.Wrap(kind, "send", err, "server %s", server.Name)
	}
	c.observer.Noticed(server, response.answer)
	if response.Header.Get(notRunHeader) != "" {
		defer response.Body.Close()
		// The answer names no request, and a second one may follow.
		if response.conn.Retire() {
			return nil, errs.New(dispatch.Failed, "send", "server %s answered %d, perhaps to an earlier request", server.Name, response.StatusCode)
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			c.observer.Rejected(server)
		}
		return nil, errs.Wrap(dispatch.NotRun, "send", dispatch.ErrDeclined, "server %s answered %d", server.Name, response.StatusCode)
	}
	return response.Response, nil
}

// exchange is a response, what it says of its server, and the connection that it came on.
type exchange struct {
	*http.Response
	answer notice.Answer
	conn   *sendonce.Conn
}

// errUnsent means that nothing was sent, since the kept connections were unfit for the request. A response that came is
// for an earlier one.
var errUnsent = errors.New("no connection was fit for the request")

// do sends a request by one of the HTTP clients.
func do(client *http.Client, request *http.Request) (*exchange, error) {
	began := time.Now()
	x := new(exchange)
	ctx, sent := sendonce.Watch(request.Context(), request.Header.Get(requestIDHeader))
	ctx, head := responsehead.Watch(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		x.conn = info.Conn.(*sendonce.Conn)
	}}))
	response, err := client.Do(request.WithContext(ctx))
	head.End()
	if sent.Refused() {
		if err == nil {
			response.Body.Close()
		}
		err = errUnsent
	}
	if err != nil {
		head.Cancel()
		if errs.IsOfType(err, responsehead.Malformed) {
			sent.RetireConn()
		}
		return nil, err
	}
	x.Response = response
	x.answer = notice.Answer{Notices: noticeHeaders.Decode(response), SentAgo: time.Since(began)}
	if conn, ok := x.conn.NetConn().(*tunnel.Conn); ok {
		x.answer.Carrier = conn.Carrier()
	}
	return x, nil
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" || errs.IsOfType(err, tunnel.NotReached)
}

func (c *Client) newStream(response *http.Response, streamed bool) *stream {
	s := &stream{response: response, id: response.Header.Get(streamHeader), remaining: c.maxResponseBytes}
	if streamed && response.StatusCode < http.StatusMultipleChoices {
		s.events = bufio.NewScanner(response.Body)
		s.events.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	}
	return s
}

// stream is an engine's response that is being read.
type stream struct {
	response *http.Response
	id       string
	// events is nil if the response is not streamed.
	events    *bufio.Scanner
	remaining int64
	bodyRead  bool
}

func (s *stream) Status() int         { return s.response.StatusCode }
func (s *stream) ContentType() string { return s.response.Header.Get("Content-Type") }
func (s *stream) ID() string          { return s.id }
func (s *stream) Close()              { s.response.Body.Close() }

// Next returns the data of the next event, or the whole body of a response that
// is not streamed.
func (s *stream) Next() ([]byte, error) {
	if s.response.StatusCode >= http.StatusInternalServerError {
		return nil, errs.New(dispatch.Failed, "read", "engine answered %d", s.response.StatusCode)
	}
	if s.events == nil {
		return s.readBody()
	}
	for s.events.Scan() {
		line := s.events.Text()
		if s.remaining -= int64(len(line) + 1); s.remaining < 0 {
			return nil, errs.New(dispatch.TooLarge, "read", "the answer exceeds its bound")
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil, io.EOF
		}
		return []byte(data), nil
	}
	// A stream that ends without [DONE] is incomplete.
	err := s.events.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return nil, errs.Wrap(dispatch.Failed, "read", err, "stream broke off")
}

func (s *stream) readBody() ([]byte, error) {
	if s.bodyRead {
		return nil, io.EOF
	}
	s.bodyRead = true
	data, err := io.ReadAll(io.LimitReader(s.response.Body, s.remaining+1))
	if err != nil {
		return nil, errs.Wrap(dispatch.Failed, "read", err, "answer broke off")
	}
	if int64(len(data)) > s.remaining {
		return nil, errs.New(dispatch.TooLarge, "read", "the answer exceeds %d bytes", s.remaining)
	}
	if s.response.StatusCode < http.StatusMultipleChoices && !json.Valid(data) {
		return nil, errs.New(dispatch.Failed, "read", "the answer is no JSON")
	}
	return data, nil
}

// Call sends a call to a plain service.
func (c *Client) Call(ctx context.Context, server config.Server, call dispatch.ServiceCall) (dispatch.ServiceResponse, error) {
	address := server.URL + call.Path
	if call.Query != "" {
		address += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, address, bytes.NewReader(call.Body))
	if err != nil {
		return dispatch.ServiceResponse{}, errs.Wrap(dispatch.NotRun, "call", err, "server %s", server.Name)
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	request.Header.Set(requestIDHeader, call.RequestID)
	response, err := c.send(request, server)
	if err != nil {
		return dispatch.ServiceResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxResponseBytes+1))
	if err != nil {
		return dispatch.ServiceResponse{}, errs.Wrap(dispatch.Failed, "call", err, "answer of server %s broke off", server.Name)
	}
	if int64(len(body)) > c.maxResponseBytes {
		return dispatch.ServiceResponse{}, errs.New(dispatch.TooLarge, "call", "answer of server %s exceeds %d bytes", server.Name, c.maxResponseBytes)
	}
	return dispatch.ServiceResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

const (
	// loadReportTimeout limits the request for a load report.
	loadReportTimeout = time.Second
	// maxLoadReportBytes bounds a load report; it names the models that a server holds.
	maxLoadReportBytes = 256 << 10
)

// LoadReport fetches a server's load report.
func (c *Client) LoadReport(ctx context.Context, server config.Server) (route.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/load", nil)
	if err != nil {
		return route.Report{}, err
	}
	response, err := do(c.http, request)
	if err != nil {
		return route.Report{}, err
	}
	defer response.Body.Close()
	response.answer.Probe = true
	c.observer.Noticed(server, response.answer)
	var in struct {
		Running   int      `json:"running"`
		Waiting   int      `json:"waiting"`
		Leaving   bool     `json:"leaving"`
		Models    []string `json:"models"`
		AgeMillis int64    `json:"age_ms"`
	}
	if response.StatusCode != http.StatusOK {
		return route.Report{}, fmt.Errorf("server %s returned status %d", server.Name, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadReportBytes)).Decode(&in); err != nil {
		return route.Report{}, err
	}
	return route.Report{
		Running: in.Running,
		Waiting: in.Waiting,
		Leaving: in.Leaving,
		Models:  in.Models,
		At:      time.Now().Add(-time.Duration(in.AgeMillis) * time.Millisecond),
	}, nil
}

// Order sends an engine a load order with its fencing token.
func (c *Client) Order(ctx context.Context, o placement.Order, token int64) error {
	body, err := json.Marshal(map[string]any{"token": token, "action": o.Action, "model": o.Model})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, o.Server.URL+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := do(c.orders, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("server %s returned status %d", o.Server.Name, response.StatusCode)
	}
	return nil
}
