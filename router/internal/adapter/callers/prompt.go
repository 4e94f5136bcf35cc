package callers

import (
	"encoding/json"
	"errors"
	"strings"

	"tanagerwood.dev/api/openai"
)

var errNotText = errors.New("the prompt is not text")

// promptTextOf stands in for engine.PromptTextOf until that is in package api/engine.
func promptTextOf(r openai.Request) (string, error) {
	var text string
	if len(r.Messages) == 0 {
		if json.Unmarshal(r.Prompt, &text) != nil || text == "" {
			return "", errNotText
		}
		return text, nil
	}
	var b strings.Builder
	for _, m := range r.Messages {
		if len(m.Content) > 0 && json.Unmarshal(m.Content, &text) != nil {
			return "", errNotText
		}
		b.WriteString("<|" + m.Role + "|>\n" + text + "\n")
	}
	return b.String(), nil
}
