package invariant

// Rule identifies an invariant.
type Rule uint8

// The rules, each named after its violation. A gateway without faults counts no violation of any of them.
const (
	// AttemptAfterEnd is an attempt for a request that has its answer or whose client has left.
	AttemptAfterEnd Rule = iota
	// AttemptToLeavingEndpoint is an attempt at an endpoint that drains or is removed.
	AttemptToLeavingEndpoint
	// AttemptAfterDeadline is an attempt that starts after the request's deadline, or that announces a later
	// deadline to the endpoint than the request has.
	AttemptAfterDeadline
	// ConcurrentAttempt is a second attempt while an earlier one is running.
	ConcurrentAttempt
	// UnsafeRetry is a retry of a request that may have run and that its class does not allow to be repeated.
	UnsafeRetry
	// RejectedAfterRun is a rejection, which states that a request never ran, of a request that may have run.
	RejectedAfterRun
	// AnsweredTwice is a second final answer to a request.
	AnsweredTwice
	// ClosedUnanswered is the closing of a downstream connection on which a request waits for its answer.
	ClosedUnanswered
	// AnsweredLate is a timeout for the remainder of an incomplete request that is so long that the client would
	// receive the error or the close too late.
	AnsweredLate
	// ConnWithoutDeadline is a downstream connection that could stay open forever, as it has neither a timer
	// nor a request.
	ConnWithoutDeadline
	// ExitWithOpenRequests is the exit of the process while requests wait for their answers.
	ExitWithOpenRequests
	ruleCount
)

// String returns the name of the rule in log lines and in the violations of /ops/stats. These texts are part of the
// external interface and must not change.
func (r Rule) String() string {
	names := [ruleCount]string{
		AttemptAfterEnd:          "attempt after end",
		AttemptToLeavingEndpoint: "attempt to leaving host",
		AttemptAfterDeadline:     "attempt too late",
		ConcurrentAttempt:        "second copy",
		UnsafeRetry:              "ran twice",
		RejectedAfterRun:         "refused after run",
		AnsweredTwice:            "answered twice",
		ClosedUnanswered:         "closed unanswered",
		AnsweredLate:             "heard late",
		ConnWithoutDeadline:      "untimed connection",
		ExitWithOpenRequests:     "ended owing",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
