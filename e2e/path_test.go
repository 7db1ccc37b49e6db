package e2e_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/shoenig/test/must"
)

// TestRequestPath sends requests of each kind through three nodes and checks them from
// the addresses that clients fetch to the decision record and the ledger.
func TestRequestPath(t *testing.T) {
	f := newFleet(t, defaultSpec)

	t.Run("addresses", func(t *testing.T) {
		r := f.call(context.Background(), f.nodes[0], http.MethodGet, "/v1/addresses?data_hall=hall-2", "")
		var list struct {
			Addresses []struct {
				Address  string
				DataHall string `json:"data_hall"`
			}
			TTL int `json:"ttl_ms"`
		}
		must.NoError(t, json.Unmarshal([]byte(r.body), &list))
		must.Len(t, 3, list.Addresses)
		must.Eq(t, f.nodes[2].clientAddr, list.Addresses[0].Address)
		must.Positive(t, list.TTL)
	})

	t.Run("OpenAI client library", func(t *testing.T) {
		client := openai.NewClient(option.WithBaseURL("http://"+f.nodes[1].clientAddr+"/v1"), option.WithAPIKey(accountKey), option.WithMaxRetries(0))
		params := openai.ChatCompletionNewParams{
			Model:    "brief",
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Route for 14 drops")},
		}
		completion, err := client.Chat.Completions.New(context.Background(), params)
		must.NoError(t, err)
		must.StrContains(t, completion.Choices[0].Message.Content, "w")
		must.Eq(t, 16, completion.Usage.CompletionTokens)

		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var text strings.Builder
		for stream.Next() {
			if choices := stream.Current().Choices; len(choices) > 0 {
				text.WriteString(choices[0].Delta.Content)
			}
		}
		must.NoError(t, stream.Err())
		must.Eq(t, completion.Choices[0].Message.Content, text.String())

		models, err := client.Models.List(context.Background())
		must.NoError(t, err)
		var names []string
		for _, m := range models.Data {
			names = append(names, m.ID)
		}
		must.Eq(t, []string{"auto", "small", "small@v1", "brief", "brief@v1", "brief@v2"}, names)
	})

	t.Run("the response to an async request is available by ID on any node", func(t *testing.T) {
		r := f.chat(f.nodes[0], "auto", "digest", "Prefer", "respond-async", "Idempotency-Key", "digest-1")
		must.Eq(t, http.StatusAccepted, r.status, must.Sprint(r.body))
		for _, n := range f.nodes {
			f.waitFor("the response on "+n.vm, func() bool {
				got := f.call(context.Background(), n, http.MethodGet, "/v1/requests/digest-1", "")
				return got.complete() && strings.Contains(got.body, "chat.completion")
			})
		}
	})

	t.Run("a repeated non-idempotent call gets the stored response and does not run again", func(t *testing.T) {
		first := f.postProof(f.nodes[0], "proof-1")
		must.True(t, first.complete(), must.Sprint(first.body))
		for _, n := range f.nodes {
			must.Eq(t, first.body, f.postProof(n, "proof-1").body)
		}
		must.Len(t, 1, f.runsByRequestID(f.plainAddrs)["proof-1"])
	})

	t.Run("a running request is cancelled through another node", func(t *testing.T) {
		f.setBehaviour(f.engineAddrs[0], map[string]any{"token_ms": 200})
		f.setBehaviour(f.engineAddrs[1], map[string]any{"token_ms": 200})
		defer f.setBehaviour(f.engineAddrs[0], map[string]any{"token_ms": 1})
		defer f.setBehaviour(f.engineAddrs[1], map[string]any{"token_ms": 1})
		done := make(chan clientResponse, 1)
		go func() { done <- f.chat(f.nodes[0], "brief", "long", "Idempotency-Key", "cancel-1") }()
		f.waitFor("the cancellation", func() bool {
			return strings.Contains(f.call(context.Background(), f.nodes[2], http.MethodDelete, "/v1/requests/cancel-1", "").body, `"stopped":true`)
		})
		must.Eq(t, "cancelled", (<-done).code)
	})

	t.Run("explain finds the decision record of another node", func(t *testing.T) {
		r := f.chat(f.nodes[0], "auto", "explain me")
		code, out := f.runOperatorCommand(f.nodes[2], "explain", r.header.Get("X-Request-Id"), "--account", "desk")
		must.Eq(t, 0, code, must.Sprint(out))
		must.StrContains(t, out, "small@v1 by roll-out stage")
		must.StrContains(t, out, "outcome: answered")
	})

	t.Run("completed requests are billed in the ledger", func(t *testing.T) {
		f.waitFor("bills", func() bool { return f.ledgerTotals(f.nodes[0])["desk/brief@v1"].Requests >= 2 })
	})
}
