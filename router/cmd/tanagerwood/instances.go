package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
)

// instanceClient returns an HTTP client for operators' ports. It fails if an answer is broken.
func instanceClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = h1.DetectResets(transport.DialContext)
	return &http.Client{Timeout: instanceTimeout, Transport: h1.Strict(transport)}
}

// fetchJSON calls an operators' port and decodes the JSON response.
func fetchJSON(ctx context.Context, client *http.Client, method, url string, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	resp, err := client.Do(r)
	if err != nil {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the instance does not answer; check its address and whether it runs")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		cause := fmt.Errorf("%s %s: status %d", method, url, resp.StatusCode)
		return fault.Wrap(cause, fault.EndpointFailed, openai.Unknown, "the answer is not that of an operators' port; check the address")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the instance's answer cannot be read; check its version")
	}
	return nil
}

// isGone reports whether an error of fetchJSON says that there is no instance any more: nothing listens at its address, or it has closed the
// connection without an answer. A broken answer, or none in time, says nothing of the kind.
func isGone(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.EOF) }
