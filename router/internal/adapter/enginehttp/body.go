package enginehttp

import (
	"encoding/json"
	"strings"

	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// routerFields are the request fields that only the router may set. Values from the caller are removed: with its own
// kv_transfer_params, for instance, a caller could read another customer's KV cache.
var routerFields = []string{"request_id", "priority", "kv_transfer_params", "continuation"}

const (
	fieldStream              = "stream"
	fieldStreamOptions       = "stream_options"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// mergeBody sets the extension, "stream" and the token limit in the caller's body and keeps every other field.
func mergeBody(call port.EngineCall, stream bool) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil || fields == nil {
		return nil, fault.New(fault.BadRequest, "the body is not a JSON object; send one")
	}
	removeRouterFields(fields)
	if err := mergeObject(fields, call.Extension); err != nil {
		return nil, err
	}
	if call.MaxTokens > 0 {
		setMaxTokens(fields, call.MaxTokens)
	}
	if !stream {
		// OpenAI-compatible servers reject stream_options without stream.
		delete(fields, fieldStreamOptions)
		fields[fieldStream] = json.RawMessage("false")
		return json.Marshal(fields)
	}
	fields[fieldStream] = json.RawMessage("true")
	if err := requestUsage(fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// removeRouterFields removes the caller's values of the router's fields, and fields whose names differ from those of the
// router only in case: an engine with a case-insensitive decoder would accept them.
func removeRouterFields(fields map[string]json.RawMessage) {
	for key := range fields {
		for _, name := range routerFields {
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

func mergeObject(fields map[string]json.RawMessage, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fault.New(fault.Internal, "the request extension cannot be encoded")
	}
	return json.Unmarshal(raw, &fields)
}

// setMaxTokens sets the token limit for which the customer is charged, so that the engine cannot generate more tokens than
// were admitted.
func setMaxTokens(fields map[string]json.RawMessage, limit int64) {
	raw, _ := json.Marshal(limit)
	if _, ok := fields[fieldMaxCompletionTokens]; ok {
		fields[fieldMaxCompletionTokens] = raw
	}
	if _, ok := fields[fieldMaxTokens]; ok || fields[fieldMaxCompletionTokens] == nil {
		fields[fieldMaxTokens] = raw
	}
}

// requestUsage sets include_usage, so that the engine sends the usage chunk from which the final charge is computed.
func requestUsage(fields map[string]json.RawMessage) error {
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
