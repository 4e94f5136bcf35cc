package adapter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// callOfService opens a new connection each time.
	callOfService       = "service"
	pooledCallOfService = "pooled service"
	// readOfPlatform changes nothing, so that its outcome does not matter.
	readOfPlatform = "platform"
	// uploadBytes is the size of a body that does not fit the buffers of a connection, uploads the number of resets of each client.
	uploadBytes = 8 << 20
	uploads     = 4
)

// soundAnswer returns a complete answer that a client accepts.
func soundAnswer(client string) string {
	if client == "decode" {
		return "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\ndata: {}\n\ndata: [DONE]\n\n"
	}
	return "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"version\":1}"
}

// brokenAnswers returns variants of a sound answer that are no answers in the protocol.
func brokenAnswers(sound string) map[string]string {
	withStatus := func(status string) string { return strings.Replace(sound, "200", status, 1) }
	withLine := func(line string) string { return strings.Replace(sound, "\r\n", "\r\n"+line+"\r\n", 1) }
	withTrailer := func(status, line string) string {
		_, body, _ := strings.Cut(sound, "\r\n\r\n")
		return fmt.Sprintf("HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", status, len(body), body, line)
	}
	return map[string]string{
		"status 000":              withStatus("000"),
		"status 099":              withStatus("099"),
		"status with a sign":      withStatus("+20"),
		"status 600":              withStatus("600"),
		"status 999":              withStatus("999"),
		"unasked switch":          withStatus("101"),
		"interim with status 000": "HTTP/1.1 000 Oops\r\n\r\n" + sound,
		"interim with status 099": "HTTP/1.1 099 Oops\r\n\r\n" + sound,
		"blank in a name":         withLine("X Bad: 1"),
		"blank before the colon":  withLine("X-Bad : 1"),
		"blank after the length":  strings.Replace(sound, "Content-Length:", "Content-Length :", 1),
		"control byte in a name":  withLine("X\x01Bad: 1"),
		"interim with a blank":    "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + sound,
		"interim with a control":  "HTTP/1.1 103 Early Hints\r\nX\x01Bad: 1\r\n\r\n" + sound,
		"trailer with a blank":    withTrailer("200 OK", "X Bad: 1"),
		"trailer with a control":  withTrailer("200 OK", "X\x01Bad: 1"),
		"refusal with a trailer":  withTrailer("503 Full", "X Bad: 1"),
		"refusal with a control":  withTrailer("503 Full", "X\x01Bad: 1"),
	}
}

// Guards against clients that take a broken answer for a whole one, on new connections and on kept ones, and against calls that are sent
// again for it although the service may have run them.
func TestBrokenAnswersFailTheirCall(t *testing.T) {
	for client, call := range clients("") {
		sound := soundAnswer(client)
		for name, broken := range brokenAnswers(sound) {
			t.Run(client+" "+name+" new", func(t *testing.T) { checkFails(t, client, call, &standin.Script{Answers: []string{broken}}) })
			if client != callOfService {
				t.Run(client+" "+name+" kept", func(t *testing.T) { checkFails(t, client, call, &standin.Script{Answers: []string{sound, broken}}) })
			}
		}
	}
}

// Guards against an answer that ends with its connection and is taken for a whole one although the connection was reset while the request
// was written, because the write got the error.
func TestAnswersThatAreResetDuringAnUploadFailTheirCall(t *testing.T) {
	calls := clients(strings.Repeat("x", uploadBytes))
	for _, client := range []string{"prefill", "decode", callOfService, pooledCallOfService, "platform write"} {
		sound := soundAnswer(client)
		_, body, _ := strings.Cut(sound, "\r\n\r\n")
		body = strings.ReplaceAll(body, "data: [DONE]\n\n", "") // a stream with its end marker is whole
		for range uploads {
			checkFails(t, client, calls[client], &standin.Script{ResetUploads: true, Answers: []string{"HTTP/1.1 200 OK\r\n\r\n" + body}})
			if client != callOfService {
				checkFails(t, client, calls[client], &standin.Script{ResetUploads: true, Answers: []string{sound, "HTTP/1.1 200 OK\r\n\r\n" + body}})
			}
		}
	}
}

// checkFails makes one call for each answer of a script, and expects the last one to fail after the others have succeeded on the same connection.
func checkFails(t *testing.T, client string, call callFunc, script *standin.Script) {
	t.Helper()
	address, err := script.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer script.Close()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	for range script.Answers[1:] {
		if err := call(ctx, "http://"+address); err != nil {
			t.Fatal("a sound answer:", err)
		}
	}
	err = call(ctx, "http://"+address)
	if err == nil {
		t.Error("the answer was used")
	}
	if ctx.Err() != nil {
		t.Error("the call waited for the rest of the answer")
	}
	if err != nil && client != readOfPlatform && fault.As(err).Outcome != openai.Unknown {
		t.Error("the outcome must be unknown:", err)
	}
	if script.Requests() != len(script.Answers) {
		t.Errorf("%d requests were sent for %d calls", script.Requests(), len(script.Answers))
	}
	if script.Connections() != 1 {
		t.Errorf("%d connections were opened", script.Connections())
	}
}
