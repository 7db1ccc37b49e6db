package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/violettally/violettally/config"
)

// usage is what an engine says that an answer took, in tokens.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

func (u usage) known() bool { return u.Prompt > 0 || u.Completion > 0 }

// complete estimates what the engine did not say: a token per part of a
// stream, a token per word of the prompt.
func (u *usage) complete(prompt string, parts int) {
	if u.known() {
		return
	}
	u.Prompt = int64(len(strings.Fields(prompt)))
	u.Completion = int64(parts)
}

// pricedTokens is how many tokens a declared price is for.
const pricedTokens = 1000

// cost returns the price in millionths of the currency unit, rounded up.
func (u usage) cost(v *config.Version) int64 {
	total := u.Prompt*v.PromptPrice + u.Completion*v.CompletionPrice
	return (total + pricedTokens - 1) / pricedTokens
}

// running marks a chunk in the middle of an answer as engines write it. Most
// parts are such, and need no decoding.
var (
	running  = []byte(`"finish_reason":null`)
	hasUsage = []byte(`"usage":{`)
)

// isRunning reports whether a chunk surely is in the middle of its answer.
func isRunning(part []byte) bool {
	return bytes.Contains(part, running) && !bytes.Contains(part, hasUsage)
}

// textOf returns the text of an answer's parts.
func textOf(parts [][]byte, streamed bool) string {
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(inspect(part, streamed).text)
	}
	return text.String()
}

// partInfo is what the path needs to know of a part.
type partInfo struct {
	text  string
	usage usage
	// last marks the chunk that ends an answer, and the usage after it.
	last bool
	// empty chunks have no choice.
	empty bool
}

// inspect reads the text and the usage out of a part: a whole completion or a
// chunk of one, as the OpenAI API defines them.
func inspect(part []byte, streamed bool) partInfo {
	var in struct {
		Choices []struct {
			Delta   struct{ Content string }
			Message struct{ Content string }
			Finish  *string `json:"finish_reason"`
		}
		Usage *usage
	}
	if json.Unmarshal(part, &in) != nil {
		return partInfo{text: string(part)}
	}
	var info partInfo
	if len(in.Choices) > 0 {
		info.text = in.Choices[0].Message.Content
		if streamed {
			info.text = in.Choices[0].Delta.Content
		}
	}
	info.empty = len(in.Choices) == 0
	info.last = info.empty || in.Choices[0].Finish != nil
	if in.Usage != nil {
		info.usage = *in.Usage
	}
	return info
}

// UsageOnly reports whether a chunk holds nothing but the usage, which goes
// only to callers who asked for it.
func UsageOnly(part []byte) bool {
	if isRunning(part) {
		return false
	}
	info := inspect(part, true)
	return info.empty && info.usage.known()
}
