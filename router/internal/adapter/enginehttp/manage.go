package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Cancel implements port.Engine.
func (c *Client) Cancel(ctx context.Context, ep port.Endpoint, attempt string) error {
	var result engine.CancelResult
	return c.call(ctx, http.MethodPost, ep, "/v1/requests/"+url.PathEscape(attempt)+"/cancel", nil, &result)
}

// Requests implements port.Engine.
func (c *Client) Requests(ctx context.Context, ep port.Endpoint) (engine.RequestList, error) {
	var list engine.RequestList
	err := c.call(ctx, http.MethodGet, ep, "/v1/requests", nil, &list)
	return list, err
}

// Load implements port.Engine.
func (c *Client) Load(ctx context.Context, ep port.Endpoint) (engine.Load, error) {
	var load engine.Load
	err := c.call(ctx, http.MethodGet, ep, "/load", nil, &load)
	return load, err
}

// CacheEvents implements port.Engine.
func (c *Client) CacheEvents(ctx context.Context, ep port.Endpoint, since uint64) (engine.CacheEventPage, error) {
	var page engine.CacheEventPage
	err := c.call(ctx, http.MethodGet, ep, "/cache-events?since="+strconv.FormatUint(since, 10), nil, &page)
	return page, err
}

// Order implements port.Engine. A refusal for an old fencing number is not an error.
func (c *Client) Order(ctx context.Context, ep port.Endpoint, order engine.Order) (engine.OrderResult, error) {
	var result engine.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return result, fault.Wrap(err, fault.Internal, openai.NotRun, "the order cannot be encoded")
	}
	err = c.call(ctx, http.MethodPost, ep, "/orders", body, &result)
	return result, err
}

// call does one management call. On a timeout the idle management connections are closed, so that the next call opens
// a fresh one.
func (c *Client) call(ctx context.Context, method string, ep port.Endpoint, path string, body []byte, answer any) error {
	req, err := c.request(ctx, method, ep, path, body)
	if err != nil {
		return err
	}
	resp, err := c.manage.Do(req)
	if err != nil {
		c.managePool.CloseIdleConnections()
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the management call to "+ep.Name+" failed")
	}
	defer resp.Body.Close()
	refusedOrder := resp.StatusCode == http.StatusConflict && path == "/orders"
	if resp.StatusCode != http.StatusOK && !refusedOrder {
		return statusError(resp, ep)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the management answer of "+ep.Name+" broke off")
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the management answer of "+ep.Name+" is not valid")
	}
	return nil
}
