package callers

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
)

const headerIdempotencyKey = "Idempotency-Key"

// credentialHeaders and credentialParameters may contain a caller's key. They never leave the router.
var (
	credentialHeaders    = []string{"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key"}
	credentialParameters = []string{"key", "api_key", "access_token"}
)

// serveModels serves GET /v1/models and GET /v1/models/{id}.
func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request, s *config.Snapshot) error {
	if r.Method != http.MethodGet {
		return methodNotAllowed(w, http.MethodGet)
	}
	customer, _, err := authenticate(r, s)
	if err != nil {
		return err
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	requestedID := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, pathModels), "/")
	for _, m := range s.Catalogue.Models {
		if !customer.MayUse(m.Name) {
			continue
		}
		model := openai.Model{ID: m.Name, Object: "model", OwnedBy: m.Owner}
		if m.Name == requestedID {
			h.writeJSON(w, http.StatusOK, model)
			return nil
		}
		list.Data = append(list.Data, model)
	}
	if requestedID != "" {
		return errUnknownModel()
	}
	h.writeJSON(w, http.StatusOK, list)
	return nil
}

// serveService forwards a call to a plain service and writes the response.
func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, s *config.Snapshot, id string) error {
	route, ok := s.Route(r.URL.Path)
	if !ok || h.Service == nil {
		return fault.New(fault.NotFound, "no route matches the path; see the catalogue's routes")
	}
	call := servicepath.Call{Route: route, Method: r.Method, RequestID: id, IdempotencyKey: r.Header.Get(headerIdempotencyKey)}
	if !route.Open {
		var err error
		if call.Customer, call.KeyDigest, err = authenticate(r, s); err != nil {
			return err
		}
	}
	body, err := h.readBody(w, r, s)
	if err != nil {
		return err
	}
	call.Body = body
	call.Path = pathWithoutCredentials(r.URL)
	call.Header = r.Header.Clone()
	for _, name := range credentialHeaders {
		call.Header.Del(name)
	}
	resp, err := h.Service.Handle(r.Context(), call)
	if err != nil {
		return err
	}
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Set(openai.RequestIDHeader, id)
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	out := h.withWriteDeadline(w)
	w.WriteHeader(resp.Status)
	_, _ = out.Write(resp.Body)
	return nil
}

// pathWithoutCredentials returns the path and the query without the credential parameters. It keeps the order and the
// encoding of the other parameters.
func pathWithoutCredentials(u *url.URL) string {
	if u.RawQuery == "" {
		return u.EscapedPath()
	}
	var kept []string
	for parameter := range strings.SplitSeq(u.RawQuery, "&") {
		name, _, _ := strings.Cut(parameter, "=")
		decoded, err := url.QueryUnescape(name)
		if err != nil || slices.Contains(credentialParameters, strings.ToLower(decoded)) {
			continue
		}
		kept = append(kept, parameter)
	}
	if len(kept) == 0 {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + strings.Join(kept, "&")
}
