package enginehttp

import (
	"context"
	"encoding/json"
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
	return c.callManagement(ctx, http.MethodPost, ep, "/v1/requests/"+url.PathEscape(attempt)+"/cancel", nil, &result)
}

// Requests implements port.Engine.
func (c *Client) Requests(ctx context.Context, ep port.Endpoint) (engine.RequestList, error) {
	var list engine.RequestList
	err := c.callManagement(ctx, http.MethodGet, ep, "/v1/requests", nil, &list)
	return list, err
}

// Load implements port.Engine.
func (c *Client) Load(ctx context.Context, ep port.Endpoint) (engine.Load, error) {
	var load engine.Load
	err := c.callManagement(ctx, http.MethodGet, ep, "/load", nil, &load)
	return load, err
}

// CacheEvents implements port.Engine.
func (c *Client) CacheEvents(ctx context.Context, ep port.Endpoint, since uint64) (engine.CacheEventPage, error) {
	var page engine.CacheEventPage
	err := c.callManagement(ctx, http.MethodGet, ep, "/cache-events?since="+strconv.FormatUint(since, 10), nil, &page)
	return page, err
}

// Order implements port.Engine. It does not return an error if the engine rejects an old fencing number.
func (c *Client) Order(ctx context.Context, ep port.Endpoint, order engine.Order) (engine.OrderResult, error) {
	var result engine.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return result, fault.Wrap(err, fault.Internal, openai.NotRun, "the order cannot be encoded")
	}
	err = c.callManagement(ctx, http.MethodPost, ep, "/orders", body, &result)
	return result, err
}

// callManagement sends one management request. If it fails, for example by a timeout, the idle management connections are
// closed, so that the next request opens a new one.
func (c *Client) callManagement(ctx context.Context, method string, ep port.Endpoint, path string, body []byte, result any) error {
	req, err := c.newRequest(ctx, method, ep, path, body)
	if err != nil {
		return err
	}
	resp, err := c.management.Do(req)
	if err != nil {
		c.managementTransport.CloseIdleConnections()
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the management call to "+ep.Name+" failed")
	}
	defer resp.Body.Close()
	refusedOrder := resp.StatusCode == http.StatusConflict && path == "/orders"
	if resp.StatusCode != http.StatusOK && !refusedOrder {
		return c.statusError(resp, ep)
	}
	raw, err := c.readAll(resp.Body, maxResponseBytes)
	if err != nil {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the management answer of "+ep.Name+" broke off")
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the management answer of "+ep.Name+" is not valid")
	}
	return nil
}
