package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
)

// Values of the type field in OpenAI errors.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// headerRetryAfterMS is the header that the OpenAI client libraries prefer to Retry-After, whose unit is the second.
const headerRetryAfterMS = "Retry-After-Ms"

// errorClass is the HTTP status and the OpenAI error type of a fault.Kind.
type errorClass struct {
	status    int
	errorType string
}

var errorClasses = map[fault.Kind]errorClass{
	fault.BadRequest:            {http.StatusBadRequest, typeInvalidRequest},
	fault.IdempotencyKeyMissing: {http.StatusBadRequest, typeInvalidRequest},
	fault.ExceedsBurst:          {http.StatusBadRequest, typeInvalidRequest},
	fault.Unauthorized:          {http.StatusUnauthorized, typeAuthentication},
	fault.KeyWithdrawn:          {http.StatusUnauthorized, typeAuthentication},
	fault.Forbidden:             {http.StatusForbidden, typePermission},
	fault.NotFound:              {http.StatusNotFound, typeInvalidRequest},
	fault.Conflict:              {http.StatusConflict, typeInvalidRequest},
	fault.TooLarge:              {http.StatusRequestEntityTooLarge, typeInvalidRequest},
	fault.IdempotencyKeyReused:  {http.StatusUnprocessableEntity, typeInvalidRequest},
	fault.RateLimited:           {http.StatusTooManyRequests, typeRateLimit},
	fault.CallerDisconnected:    {statusClientClosedRequest, typeInvalidRequest},
	fault.EndpointFailed:        {http.StatusBadGateway, typeServer},
	fault.EndpointRefused:       {http.StatusBadGateway, typeServer},
	fault.Timeout:               {http.StatusGatewayTimeout, typeServer},
	fault.Overloaded:            {http.StatusServiceUnavailable, typeServer},
	fault.InstanceNotConfirmed:  {http.StatusServiceUnavailable, typeServer},
	fault.PlatformUnavailable:   {http.StatusServiceUnavailable, typeServer},
	fault.NoEndpoint:            {http.StatusServiceUnavailable, typeServer},
	fault.Draining:              {http.StatusServiceUnavailable, typeServer},
}

func errorClassOf(kind fault.Kind) errorClass {
	if a, ok := errorClasses[kind]; ok {
		return a
	}
	return errorClass{http.StatusInternalServerError, typeServer}
}

func errorBody(e *fault.Error) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.Error{
		Message: e.Message, Type: errorClassOf(e.Kind).errorType, Code: string(e.Kind), Outcome: e.Outcome,
	}}
}

func (h *Handler) writeError(w http.ResponseWriter, err error) {
	typed := fault.As(err)
	header := w.Header()
	header.Set(openai.OutcomeHeader, string(typed.Outcome))
	if typed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(typed.RetryAfter.Seconds())), 10))
		header.Set(headerRetryAfterMS, strconv.FormatInt(int64(math.Ceil(float64(typed.RetryAfter)/float64(time.Millisecond))), 10))
	}
	if typed.Kind == fault.Unauthorized || typed.Kind == fault.KeyWithdrawn {
		header.Set("WWW-Authenticate", "Bearer")
	}
	h.writeJSON(w, errorClassOf(typed.Kind).status, errorBody(typed))
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	out := h.withWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = out.Write(raw)
}
