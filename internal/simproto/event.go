package simproto

import (
	"math"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

// Kind is the code of an event record.
type Kind uint8

// The event codes of the protocol. The doc comment of the package maps them to the protocol's names.
const (
	AttemptEnded     Kind = 1
	RequestAbandoned Kind = 2
	TimerFired       Kind = 3
	ResponseStarted  Kind = 4
	EndpointsChanged Kind = 5
	ProbeEnded       Kind = 6
	RequestArrived   Kind = 7
	selectInstance   Kind = 8
	PeerMessage      Kind = 9
	InstanceStarted  Kind = 10
	InstanceStopped  Kind = 11
)

// Event is one decoded event. Only the fields of its kind are set. Endpoints refers to a buffer of the batch.
type Event struct {
	Instance   int
	Kind       Kind
	Request    balancer.Request        // RequestArrived; only its ID for RequestAbandoned and ResponseStarted
	AttemptEnd balancer.AttemptEnd     // AttemptEnded, without the values that Load holds
	Load       Load                    // AttemptEnded
	Token      uint32                  // TimerFired
	Seed       uint64                  // InstanceStarted
	Settings   string                  // InstanceStarted
	Update     balancer.EndpointUpdate // EndpointsChanged
	Endpoints  []balancer.Endpoint     // EndpointsChanged
}

// outcomes maps the code of an attempt's end to its outcome.
var outcomes = map[uint16]balancer.Outcome{
	100: balancer.OutcomeOK,
	301: balancer.OutcomeError,
	302: balancer.OutcomeRejected,
	303: balancer.OutcomeTimeout,
	304: balancer.OutcomeConnectFailed,
	305: balancer.OutcomeReset,
	306: balancer.OutcomeCancelled,
	307: balancer.OutcomeNotStarted,
}

// clientRetryBit is set in a request's flags if its client marked the request as a retry.
const clientRetryBit = 2

// decodeEvent decodes an event record of the current instance.
func (b *Batch) decodeEvent(rec record) (Event, error) {
	e := Event{Instance: b.instance, Kind: Kind(rec[0])}
	var err error
	switch e.Kind {
	case AttemptEnded:
		e.AttemptEnd, err = decodeAttemptEnd(rec)
		e.Load = decodeLoad(rec[24:])
	case RequestAbandoned, ResponseStarted:
		e.Request.ID = balancer.RequestID(rec.uint32(1))
	case TimerFired:
		e.Token = rec.uint32(1)
	case EndpointsChanged:
		e.Update, e.Endpoints, err = b.decodeEndpointUpdate(rec)
	case RequestArrived:
		e.Request, err = decodeRequest(rec)
	case InstanceStarted:
		e.Seed = rec.uint64(1)
		var text []byte
		text, err = b.tailSlice("info", rec.uint32(9), rec.uint32(13), 1)
		e.Settings = string(text)
	case PeerMessage:
		_, err = b.tailSlice("contents", rec.uint32(3), rec.uint32(7), 1)
	case ProbeEnded, InstanceStopped:
	default:
		err = fielderror.CauseWithText(ErrUnknownCode, "unknown event code %d", rec[0])
	}
	return e, err
}

// decodeAttemptEnd decodes the end of an attempt, without its load report.
func decodeAttemptEnd(rec record) (balancer.AttemptEnd, error) {
	code := rec.uint16(13)
	outcome, ok := outcomes[code]
	if !ok {
		return balancer.AttemptEnd{}, fielderror.CauseWithText(ErrUnknownCode, "unknown outcome %d at byte 13", code)
	}
	latency, err := rec.millis(15, "latency_ms")
	return balancer.AttemptEnd{
		Request:     balancer.RequestID(rec.uint32(1)),
		Attempt:     int(rec.uint16(5)),
		Endpoint:    rec.endpointID(7),
		Outcome:     outcome,
		Latency:     latency,
		RequestDone: rec[23] != 0,
	}, err
}

// decodeRequest decodes a request that arrived.
func decodeRequest(rec record) (balancer.Request, error) {
	timeout, err := rec.millis(17, "patience_left_ms")
	return balancer.Request{
		ID:            balancer.RequestID(rec.uint32(1)),
		Tenant:        int(rec.uint32(5)),
		ClientTimeout: timeout,
		Class:         int(rec.uint16(25)),
		Retry:         rec[27]&clientRetryBit != 0,
	}, err
}

// maxLoadValues is the maximum number of values in a load report.
const maxLoadValues = 4

// Load is a load report of an endpoint. Its first Count values are valid.
type Load struct {
	Count  int
	Values [maxLoadValues]float64
}

// decodeLoad decodes a load report: the number of values and the values.
func decodeLoad(rec record) Load {
	l := Load{Count: min(int(rec[0]), maxLoadValues)}
	for i := range l.Count {
		l.Values[i] = float64(math.Float32frombits(rec.uint32(1 + 4*i)))
	}
	return l
}

// QueueLength returns the number of requests queued at an endpoint: the value of the report at index column. ok is
// false if the report has no such value, or if the value is negative or NaN.
func (l Load) QueueLength(column int) (length float64, ok bool) {
	if column < 0 || column >= l.Count || !(l.Values[column] >= 0) {
		return 0, false
	}
	return l.Values[column], true
}
