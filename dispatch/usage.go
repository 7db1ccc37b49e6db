package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/violettally/violettally/config"
)

// usage is the token usage that an engine reports for a response.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

func (u usage) known() bool { return u.Prompt > 0 || u.Completion > 0 }

// estimateMissing estimates a usage that the engine did not report: one completion token per
// part of the response, one prompt token per word of the prompt.
func (u *usage) estimateMissing(prompt string, parts int) {
	if u.known() {
		return
	}
	u.Prompt = int64(len(strings.Fields(prompt)))
	u.Completion = int64(parts)
}

// tokensPerPrice is the number of tokens that a declared price is for.
const tokensPerPrice = 1000

// cost returns the price in millionths of the currency unit, rounded up.
func (u usage) cost(v *config.Version) int64 {
	total := u.Prompt*v.PromptPrice + u.Completion*v.CompletionPrice
	return (total + tokensPerPrice - 1) / tokensPerPrice
}

// These byte sequences, as engines write them, distinguish a chunk in the middle of a response
// from the last ones. Most chunks are in the middle and need no decoding.
var (
	finishReasonNull = []byte(`"finish_reason":null`)
	usageMarker      = []byte(`"usage":{`)
)

// isMidChunk reports whether a chunk is certainly in the middle of its response.
func isMidChunk(part []byte) bool {
	return bytes.Contains(part, finishReasonNull) && !bytes.Contains(part, usageMarker)
}

// textOf returns the text of a response's parts.
func textOf(parts [][]byte, streamed bool) string {
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(parsePart(part, streamed).text)
	}
	return text.String()
}

// partInfo holds what this package needs to know of a part.
type partInfo struct {
	text  string
	usage usage
	// last marks the chunk that ends a response, and the usage chunk after it.
	last bool
	// empty marks a chunk without choices.
	empty bool
}

// parsePart reads the text and the usage of a part, which is a whole completion or a chunk of
// one as defined by the OpenAI API.
func parsePart(part []byte, streamed bool) partInfo {
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

// UsageOnly reports whether a chunk holds nothing but the usage. Such a chunk goes only to
// clients that asked for it.
func UsageOnly(part []byte) bool {
	if isMidChunk(part) {
		return false
	}
	info := parsePart(part, true)
	return info.empty && info.usage.known()
}
