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

// Types of OpenAI errors.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// headerRetryAfterMS is read by the OpenAI client libraries in preference to Retry-After, whose unit is the second.
const headerRetryAfterMS = "Retry-After-Ms"

type answerKind struct {
	status int
	kind   string
}

var answerKinds = map[fault.Kind]answerKind{
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
	fault.CallerDisconnected:    {statusClientClosed, typeInvalidRequest},
	fault.EndpointFailed:        {http.StatusBadGateway, typeServer},
	fault.EndpointRefused:       {http.StatusBadGateway, typeServer},
	fault.Timeout:               {http.StatusGatewayTimeout, typeServer},
	fault.Overloaded:            {http.StatusServiceUnavailable, typeServer},
	fault.InstanceNotConfirmed:  {http.StatusServiceUnavailable, typeServer},
	fault.PlatformUnavailable:   {http.StatusServiceUnavailable, typeServer},
	fault.NoEndpoint:            {http.StatusServiceUnavailable, typeServer},
	fault.Draining:              {http.StatusServiceUnavailable, typeServer},
}

func answerOf(kind fault.Kind) answerKind {
	if a, ok := answerKinds[kind]; ok {
		return a
	}
	return answerKind{http.StatusInternalServerError, typeServer}
}

func errorBody(e *fault.Error) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.Error{
		Message: e.Message, Type: answerOf(e.Kind).kind, Code: string(e.Kind), Outcome: e.Outcome,
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
	h.writeJSON(w, answerOf(typed.Kind).status, errorBody(typed))
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	out := h.deadline(w)
	w.WriteHeader(status)
	_, _ = out.Write(raw)
}
