package callers

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/bits"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"

	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/inbound"
)

// The HTTP headers of requests and responses.
const (
	requestIDHeader   = "X-Request-Id"
	idempotencyHeader = "Idempotency-Key"
	sessionHeader     = "X-Session-Id"
	timeoutHeader     = "X-Timeout-Ms"
	preferHeader      = "Prefer"
	respondAsync      = "respond-async"
	modelHeader       = "X-Model-Version"
)

// idPattern matches the ids and sessions that clients may choose. It excludes '~'
// and '/', which separate what packages dispatch and session append to them.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const (
	// prefixBytes is how much of the prompt is hashed to find servers that may
	// have its prefix cached.
	prefixBytes = 256
	// maxMessages is the most messages in one chat request.
	maxMessages = 4096
	// bodyBytesPerByte is what each byte of a body takes in memory, with the copies that are made of it.
	bodyBytesPerByte = 4
)

// invalidRequest returns the refusal of a malformed request.
func invalidRequest(format string, args ...any) *dispatch.Refusal {
	return dispatch.NewRefusal(dispatch.ReasonInvalid, 0, format, args...)
}

func pathID(c echo.Context) (string, *dispatch.Refusal) {
	id := c.Param("id")
	if !idPattern.MatchString(id) {
		return "", invalidRequest("request id %q: want 1 to 128 of letters, digits, '.', '_', ':', '-'", id)
	}
	return id, nil
}

// newRequest reads the parts that chat and service requests have in common.
func (s *Server) newRequest(c echo.Context) (*dispatch.Request, *dispatch.Refusal) {
	header := c.Request().Header
	r := &dispatch.Request{Account: account(c), ID: header.Get(idempotencyHeader)}
	if r.ID == "" {
		r.ID = s.NewID()
	} else {
		r.IDFromClient = true
	}
	if !idPattern.MatchString(r.ID) {
		return nil, invalidRequest("%s %q: want 1 to 128 of letters, digits, '.', '_', ':', '-'", idempotencyHeader, r.ID)
	}
	r.Async = strings.Contains(header.Get(preferHeader), respondAsync)
	limit := s.RequestTimeout
	if r.Async {
		limit = asyncTimeout
	}
	timeout, refusal := parseTimeout(header.Get(timeoutHeader), limit)
	if refusal != nil {
		return nil, refusal
	}
	r.Deadline = time.Now().Add(timeout)
	if r.Body, refusal = readBody(c, s.Bounds.BodyBytes); refusal != nil {
		return nil, refusal
	}
	r.Digest = xxhash.Sum64String(c.Request().Method + " " + c.Request().URL.RequestURI() + "\n" + string(r.Body))
	return r, nil
}

// readBody reads the body within bodyTimeout. http.Server.ReadTimeout would also
// end responses that take longer than it.
func readBody(c echo.Context, maxBytes int64) ([]byte, *dispatch.Refusal) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(inbound.ChargeBody(c.Request(), bodyBytesPerByte, maxBytes))
	var tooLarge *echo.HTTPError
	switch {
	case errorx.IsOfType(err, inbound.NoRoom):
		return nil, dispatch.NoRoom(ranWithoutAccount(c.Request()))
	case errors.As(err, &tooLarge):
		return nil, dispatch.NewRefusal(dispatch.ReasonBodyTooLarge, 0, "the body exceeds the bound for bodies")
	case err != nil:
		return nil, invalidRequest("the body cannot be read: %v", err)
	}
	return body, nil
}

func parseTimeout(value string, limit time.Duration) (time.Duration, *dispatch.Refusal) {
	if value == "" {
		return limit, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis <= 0 {
		return 0, invalidRequest("%s %q: want a whole number of milliseconds above zero", timeoutHeader, value)
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// chatBody is the part of a chat completion request that dispatch needs.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Options  struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. In JSON it is a string or a list of parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (t *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = chatContent(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content must be a string or a list of parts")
	}
	for _, part := range parts {
		*t += chatContent(part.Text)
	}
	return nil
}

func (s *Server) chatRequest(c echo.Context) (_ *dispatch.Request, wantsUsage bool, _ *dispatch.Refusal) {
	r, refusal := s.newRequest(c)
	if refusal != nil {
		return nil, false, refusal
	}
	var body chatBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, false, invalidRequest("the body is no chat completion request: %v", err)
	}
	session := c.Request().Header.Get(sessionHeader)
	switch {
	case body.Model == "":
		return nil, false, invalidRequest("the body names no model")
	case len(body.Messages) == 0:
		return nil, false, invalidRequest("the body has no messages")
	case len(body.Messages) > maxMessages:
		return nil, false, invalidRequest("the body has %d messages; %d are allowed", len(body.Messages), maxMessages)
	case session != "" && !idPattern.MatchString(session):
		return nil, false, invalidRequest("%s %q: want 1 to 128 of letters, digits, '.', '_', ':', '-'", sessionHeader, session)
	}
	prompt := body.prompt()
	r.Chat = &dispatch.Chat{
		Model:   body.Model,
		Session: session,
		Stream:  body.Stream,
		Prefix:  xxhash.Sum64String(body.Model + "\n" + prompt[:min(prefixBytes, len(prompt))]),
		Class:   fmt.Sprintf("%s/%d", r.Account.Name, bits.Len(uint(len(prompt)))),
		Prompt:  prompt,
	}
	return r, body.Options.IncludeUsage, nil
}

func (b chatBody) prompt() string {
	var all strings.Builder
	for _, m := range b.Messages {
		all.WriteString(string(m.Content))
		all.WriteByte('\n')
	}
	return all.String()
}

func (s *Server) serviceRequest(c echo.Context) (*dispatch.Request, *dispatch.Refusal) {
	r, refusal := s.newRequest(c)
	if refusal != nil {
		return nil, refusal
	}
	name, path := c.Param("service"), "/"+c.Param("*")
	service := s.Config().Service(name)
	if service == nil || !slices.Contains(r.Account.Services, name) {
		return nil, dispatch.NewRefusal(dispatch.ReasonServiceNotFound, 0, "service %q is not one that account %q may use", name, r.Account.Name)
	}
	call := service.Call(c.Request().Method, path)
	switch {
	case call == nil:
		return nil, dispatch.NewRefusal(dispatch.ReasonCallNotDeclared, 0, "service %q declares no call %s %s", name, c.Request().Method, path)
	case !call.Repeatable && !r.IDFromClient:
		return nil, dispatch.NewRefusal(dispatch.ReasonKeyMissing, 0, "%s %s may not be repeated; send an %s", c.Request().Method, path, idempotencyHeader)
	}
	r.Plain = &dispatch.Plain{
		Service:     service,
		Call:        call,
		Method:      c.Request().Method,
		Path:        path,
		Query:       c.Request().URL.RawQuery,
		ContentType: c.Request().Header.Get("Content-Type"),
	}
	return r, nil
}

func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

func byteLimit(n int64) string { return strconv.FormatInt(n, 10) + "B" }
