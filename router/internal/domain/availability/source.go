package availability

// source tells which start of an endpoint a notice is from. An endpoint may start again under the same id, and answer before the
// platform lists the new start; answers do not name the start. Times are Unix times in milliseconds.
type source struct {
	// startMS is the start that was listed when the notice came.
	startMS int64
	// sentMS is when the request was sent to whose answer the notice belongs. Unlike the time of the answer, it is not delayed where this
	// instance stands still: a start after it cannot have received the request. It is zero if unknown.
	sentMS int64
}

// clockSkewMS is the difference between the clocks of this instance and the endpoint that is allowed for. An endpoint takes longer to
// start again.
const clockSkewMS = 100

// appliesTo reports whether the notice binds the given start: all but those after it.
func (s source) appliesTo(startMS int64) bool {
	return startMS <= s.startMS || s.sentMS > 0 && startMS <= s.sentMS+clockSkewMS
}
