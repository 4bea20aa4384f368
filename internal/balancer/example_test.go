package balancer_test

import (
	"fmt"
	"time"

	"thymebend/internal/balancer"
)

// printer carries out actions by printing them; a gateway would send, answer and set timers here.
type printer struct{}

func (printer) Send(id balancer.RequestID, to balancer.ServerID, timeout time.Duration) {
	fmt.Printf("send request %d to server %d\n", id, to)
}
func (printer) Refuse(id balancer.RequestID, after time.Duration) { fmt.Printf("refuse %d\n", id) }
func (printer) Fail(id balancer.RequestID)                        { fmt.Printf("fail %d\n", id) }
func (printer) Cancel(id balancer.RequestID, attempt int)         { fmt.Printf("cancel %d\n", id) }
func (printer) Wake(after time.Duration, token uint32)            {}
func (printer) Close(to balancer.ServerID)                        {}
func (printer) Watch()                                            { fmt.Println("watch the list") }
func (printer) Log(line string)                                   { fmt.Println("log:", line) }

// A request fails on one server and is answered by another.
func Example() {
	cfg := balancer.Config{
		Gateways:    1,
		MaxAttempts: 3,
		ColdFrom:    1,
		Tick:        5 * time.Millisecond,
		Classes: []balancer.Class{{
			Aim: 500 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: balancer.Safe,
		}},
	}
	now := 10 * time.Second // any monotonic clock
	b, err := balancer.New(cfg, 1, now, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.List(now, balancer.ListFull, []balancer.Server{{ID: 7, State: balancer.Ready}})
	b.Request(now, balancer.Request{ID: 42, Patience: time.Second})
	b.Dispatch(now)

	now += 20 * time.Millisecond
	b.List(now, balancer.ListDelta, []balancer.Server{
		{ID: 7, State: balancer.Draining}, {ID: 8, State: balancer.Ready},
	})
	b.AttemptEnd(now, balancer.AttemptEnd{Request: 42, Server: 7, Outcome: balancer.Reset})
	b.Dispatch(now)

	now += 60 * time.Millisecond
	b.AttemptEnd(now, balancer.AttemptEnd{Request: 42, Attempt: 1, Server: 8, Outcome: balancer.OK,
		Latency: 60 * time.Millisecond, Closed: true})
	b.Dispatch(now)
	fmt.Println("answered")
	// Output:
	// send request 42 to server 7
	// send request 42 to server 8
	// answered
}
