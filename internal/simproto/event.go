package simproto

import (
	"math"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

// Kind is the code of an event record.
type Kind uint8

// The event codes of the protocol.
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

// Event is one decoded event. Only the fields of its kind are set; texts and lists point into the frame.
type Event struct {
	Instance   int
	Kind       Kind
	Request    balancer.Request        // RequestArrived; only its ID for RequestAbandoned and ResponseStarted
	AttemptEnd balancer.AttemptEnd     // AttemptEnded, without what Load tells
	Load       Load                    // AttemptEnded
	Token      uint32                  // TimerFired
	Seed       uint64                  // InstanceStarted
	Settings   string                  // InstanceStarted
	Update     balancer.EndpointUpdate // EndpointsChanged
	Endpoints  []balancer.Endpoint     // EndpointsChanged
}

// outcomes are the codes of how an attempt ended.
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

// clientRetry is the bit of a request's marks by which a client says that it is a retry.
const clientRetry = 2

func (b *Batch) event(rec record) (Event, error) {
	e := Event{Instance: b.instance, Kind: Kind(rec[0])}
	var err error
	switch e.Kind {
	case AttemptEnded:
		e.AttemptEnd, err = attemptEnd(rec)
		e.Load = loadReport(rec[24:])
	case RequestAbandoned, ResponseStarted:
		e.Request.ID = balancer.RequestID(rec.uint32(1))
	case TimerFired:
		e.Token = rec.uint32(1)
	case EndpointsChanged:
		e.Update, e.Endpoints, err = b.endpointUpdate(rec)
	case RequestArrived:
		e.Request, err = request(rec)
	case InstanceStarted:
		e.Seed = rec.uint64(1)
		var text []byte
		text, err = b.slice("info", rec.uint32(9), rec.uint32(13), 1)
		e.Settings = string(text)
	case PeerMessage:
		_, err = b.slice("contents", rec.uint32(3), rec.uint32(7), 1)
	case ProbeEnded, InstanceStopped:
	default:
		err = fielderror.Worded(ErrUnknownCode, "unknown event code %d", rec[0])
	}
	return e, err
}

func attemptEnd(rec record) (balancer.AttemptEnd, error) {
	code := rec.uint16(13)
	outcome, ok := outcomes[code]
	if !ok {
		return balancer.AttemptEnd{}, fielderror.Worded(ErrUnknownCode, "unknown outcome %d at byte 13", code)
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

func request(rec record) (balancer.Request, error) {
	timeout, err := rec.millis(17, "patience_left_ms")
	return balancer.Request{
		ID:            balancer.RequestID(rec.uint32(1)),
		Tenant:        int(rec.uint32(5)),
		ClientTimeout: timeout,
		Class:         int(rec.uint16(25)),
		Retry:         rec[27]&clientRetry != 0,
	}, err
}

// maxLoadValues is how many values a load report has room for.
const maxLoadValues = 4

// Load is a load report as it came: its first N values.
type Load struct {
	N      int
	Values [maxLoadValues]float64
}

func loadReport(rec record) Load {
	l := Load{N: min(int(rec[0]), maxLoadValues)}
	for i := range l.N {
		l.Values[i] = float64(math.Float32frombits(rec.uint32(1 + 4*i)))
	}
	return l
}

// QueueLength is how many requests wait at an endpoint, where column says which value of the report tells. ok is
// false where the report does not tell.
func (l Load) QueueLength(column int) (length float64, ok bool) {
	if column < 0 || column >= l.N || !(l.Values[column] >= 0) {
		return 0, false
	}
	return l.Values[column], true
}
