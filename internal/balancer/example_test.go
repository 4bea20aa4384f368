package balancer_test

import (
	"fmt"
	"time"

	"thymebend/internal/balancer"
)

// printer implements Actions and prints the calls. A gateway would send requests, answer clients and set timers.
type printer struct{}

func (printer) StartAttempt(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	fmt.Printf("send request %d to endpoint %d\n", id, to)
}
func (printer) Reject(id balancer.RequestID, after time.Duration) { fmt.Printf("reject %d\n", id) }
func (printer) Fail(id balancer.RequestID)                        { fmt.Printf("fail %d\n", id) }
func (printer) CancelAttempt(id balancer.RequestID, attempt int)  { fmt.Printf("cancel %d\n", id) }
func (printer) SetTimer(after time.Duration, token uint32)        {}
func (printer) CloseIdle(to balancer.EndpointID)                  {}
func (printer) WatchEndpoints()                                   { fmt.Println("watch the list") }
func (printer) Log(line string)                                   { fmt.Println("log:", line) }

// This example shows a request whose first attempt is reset and whose second attempt, on another endpoint, succeeds.
func Example() {
	cfg := balancer.Config{
		Gateways:          1,
		MaxAttempts:       3,
		SlowStartFraction: 1,
		DispatchInterval:  5 * time.Millisecond,
		Classes: []balancer.Class{{
			LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, Weight: 1,
			Idempotency: balancer.Idempotent,
		}},
	}
	now := 10 * time.Second // any monotonic clock
	b, err := balancer.New(cfg, 1, now, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.UpdateEndpoints(now, balancer.Snapshot, []balancer.Endpoint{{ID: 7, State: balancer.EndpointReady}})
	b.RequestArrived(now, balancer.Request{ID: 42, ClientTimeout: time.Second})
	b.Dispatch(now)

	now += 20 * time.Millisecond
	b.UpdateEndpoints(now, balancer.Delta, []balancer.Endpoint{
		{ID: 7, State: balancer.EndpointDraining}, {ID: 8, State: balancer.EndpointReady},
	})
	b.AttemptEnded(now, balancer.AttemptEnd{Request: 42, Endpoint: 7, Outcome: balancer.OutcomeReset})
	b.Dispatch(now)

	now += 60 * time.Millisecond
	b.AttemptEnded(now, balancer.AttemptEnd{Request: 42, Attempt: 1, Endpoint: 8, Outcome: balancer.OutcomeOK,
		Latency: 60 * time.Millisecond, RequestDone: true})
	b.Dispatch(now)
	fmt.Println("answered")
	// Output:
	// send request 42 to endpoint 7
	// send request 42 to endpoint 8
	// answered
}
