package engine

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/api/openai"
)

// ErrNoTextPrompt means that a body holds neither messages nor a text prompt.
var ErrNoTextPrompt = errors.New("the body has neither messages nor a text prompt; send one of them as text")

// contentPart is one element of a message's content when it is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// PromptText returns the text that a model sees for a caller's body. The router and the engines both use it, so that
// they compute the same BlockHashes.
func PromptText(body []byte) (string, error) {
	var r openai.Request
	if err := json.Unmarshal(body, &r); err != nil {
		return "", err
	}
	return PromptTextOf(r)
}

// PromptTextOf is PromptText for a body that is already decoded.
func PromptTextOf(r openai.Request) (string, error) {
	if len(r.Messages) > 0 {
		return chatText(r.Messages)
	}
	return completionText(r.Prompt)
}

func chatText(messages []openai.Message) (string, error) {
	var b strings.Builder
	for _, m := range messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString("<|" + m.Role + "|>\n")
		b.WriteString(text)
		b.WriteString("\n")
	}
	return b.String(), nil
}

func contentText(content json.RawMessage) (string, error) {
	if len(content) == 0 || string(content) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", ErrNoTextPrompt
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func completionText(prompt json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(prompt, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", ErrNoTextPrompt
}

// BlockHashes returns, for each full CacheBlockBytes of the prompt text, the hash of all text up to the block's end.
func BlockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/CacheBlockBytes)
	var d xxhash.Digest
	d.Reset()
	for len(prompt) >= CacheBlockBytes {
		_, _ = d.WriteString(prompt[:CacheBlockBytes])
		prompt = prompt[CacheBlockBytes:]
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
