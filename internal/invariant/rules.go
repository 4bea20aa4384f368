package invariant

// Rule is an invariant that an effect would have broken.
type Rule uint8

// The rules. In a gateway without faults each counts 0.
const (
	// AttemptAfterEnd is an attempt for a request that has its answer or whose client has left.
	AttemptAfterEnd Rule = iota
	// AttemptToLeavingEndpoint is an attempt at an endpoint that drains or is removed.
	AttemptToLeavingEndpoint
	// AttemptAfterDeadline is an attempt after the request's deadline, or one that states more time than is
	// left.
	AttemptAfterDeadline
	// ConcurrentAttempt is a second attempt while an earlier one is running.
	ConcurrentAttempt
	// UnsafeRetry is a retry of work that may have run, where its class does not allow it.
	UnsafeRetry
	// RejectedAfterRun is a rejection, which promises that work never ran, of work that may have.
	RejectedAfterRun
	// AnsweredTwice is a second final answer.
	AnsweredTwice
	// ClosedUnanswered is closing a downstream connection on which a request waits for its answer.
	ClosedUnanswered
	// AnsweredLate is a client that stopped in the middle of a request and would get its error too late.
	AnsweredLate
	// ConnWithoutDeadline is a downstream connection that nothing would ever end.
	ConnWithoutDeadline
	// ExitWithOpenRequests is the exit of the process while requests wait for their answers.
	ExitWithOpenRequests
	ruleCount
)

// String is the rule in log lines and in the violations of /ops/stats, whose texts are fixed.
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
