package enginehttp

import (
	"encoding/json"
	"strings"

	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// extensionFields belong to the router. A caller's own values are dropped: kv_transfer_params, for instance, would let
// it read another customer's KV cache.
var extensionFields = []string{"request_id", "priority", "kv_transfer_params", "continuation"}

const (
	fieldStream              = "stream"
	fieldStreamOptions       = "stream_options"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// mergeBody adds the extension, "stream" and the token limit to the caller's body and keeps every other field.
func mergeBody(call port.EngineCall, stream bool) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil || fields == nil {
		return nil, fault.New(fault.BadRequest, "the body is not a JSON object; send one")
	}
	dropOwned(fields)
	if err := addObject(fields, call.Extension); err != nil {
		return nil, err
	}
	if call.MaxTokens > 0 {
		setLimit(fields, call.MaxTokens)
	}
	if !stream {
		// OpenAI-compatible servers refuse stream_options without stream.
		delete(fields, fieldStreamOptions)
		fields[fieldStream] = json.RawMessage("false")
		return json.Marshal(fields)
	}
	fields[fieldStream] = json.RawMessage("true")
	if err := wantUsage(fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// dropOwned removes the caller's values of the router's fields, and names that differ from them in case alone: engines
// whose decoder ignores case would take those.
func dropOwned(fields map[string]json.RawMessage) {
	for key := range fields {
		for _, name := range extensionFields {
			if strings.EqualFold(key, name) {
				delete(fields, key)
			}
		}
		for _, name := range []string{fieldStream, fieldStreamOptions, fieldMaxTokens, fieldMaxCompletionTokens} {
			if key != name && strings.EqualFold(key, name) {
				delete(fields, key)
			}
		}
	}
}

func addObject(fields map[string]json.RawMessage, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fault.New(fault.Internal, "the request extension cannot be encoded")
	}
	return json.Unmarshal(raw, &fields)
}

// setLimit puts the charged limit into the body, so that the engine cannot produce more than was admitted.
func setLimit(fields map[string]json.RawMessage, limit int64) {
	raw, _ := json.Marshal(limit)
	if _, ok := fields[fieldMaxCompletionTokens]; ok {
		fields[fieldMaxCompletionTokens] = raw
	}
	if _, ok := fields[fieldMaxTokens]; ok || fields[fieldMaxCompletionTokens] == nil {
		fields[fieldMaxTokens] = raw
	}
}

// wantUsage asks the engine for the usage chunk that the charge is settled with.
func wantUsage(fields map[string]json.RawMessage) error {
	options := map[string]json.RawMessage{}
	if raw, ok := fields[fieldStreamOptions]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return fault.New(fault.BadRequest, `"stream_options" is not an object; send one or leave it out`)
		}
	}
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	raw, err := json.Marshal(options)
	if err != nil {
		return fault.New(fault.BadRequest, `"stream_options" cannot be encoded`)
	}
	fields[fieldStreamOptions] = raw
	return nil
}
