package enginehttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/router/internal/port"
)

// FuzzReadEvent guards against input that makes the parser panic or return an event longer than the input.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": c\r\ndata:a\r\ndata: b\r\n\r\n"))
	f.Add([]byte("event: x\nid: 1\n\n\n\ndata"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(raw), 16)
		for {
			data, err := readEvent(r, &membudget.Holding{})
			if err != nil {
				return
			}
			if len(data) > len(raw) {
				t.Fatalf("%d bytes of data from %d", len(data), len(raw))
			}
			_, _ = parseChunk(data)
		}
	})
}

// FuzzMergeBody guards against a caller's body that sets or overrides the router's fields.
func FuzzMergeBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","request_id":"x","kv_transfer_params":{"remote_url":"u"}}`), true)
	f.Add([]byte(`{"stream_options":null,"max_tokens":1,"max_completion_tokens":2}`), false)
	f.Add([]byte(`{"request_id":"a","request_id":"b","Request_ID":"c"}`), true)
	f.Add([]byte(`{"Continuation":{},"KV_TRANSFER_PARAMS":{},"Max_Tokens":9,"max_completion_tokenſ":8}`), true)
	f.Fuzz(func(t *testing.T, body []byte, stream bool) {
		merged, err := mergeBody(port.EngineCall{Body: body, MaxTokens: 3, Extension: engine.Extension{RequestID: "own"}}, stream)
		if err != nil {
			return
		}
		var decoded struct { // read as by an engine that ignores the case of field names
			RequestID           string          `json:"request_id"`
			KVTransfer          json.RawMessage `json:"kv_transfer_params"`
			Continuation        json.RawMessage `json:"continuation"`
			MaxTokens           any             `json:"max_tokens"`
			MaxCompletionTokens any             `json:"max_completion_tokens"`
		}
		if err := json.Unmarshal(merged, &decoded); err != nil {
			t.Fatalf("not an object: %q", merged)
		}
		if decoded.RequestID != "own" || decoded.KVTransfer != nil || decoded.Continuation != nil {
			t.Fatalf("the merged body contains the caller's extension: %q", merged)
		}
		for _, v := range []any{decoded.MaxTokens, decoded.MaxCompletionTokens} {
			if v != nil && v != 3.0 {
				t.Fatalf("the merged body contains the caller's limit: %q", merged)
			}
		}
	})
}
