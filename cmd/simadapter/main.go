// Command simadapter runs instances of the balancer for the simulator. It reads batches of events in the
// simulator's protocol from standard input and writes the balancer's actions to standard output. It makes no
// balancing decisions itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"thymebend/internal/balancer"
	"thymebend/internal/settings"
	"thymebend/internal/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run processes batches until the input ends. The reply to a batch is written only after the whole batch was
// processed, so a faulty batch ends the run without a partial reply.
func run(in io.Reader, out io.Writer) error {
	a := adapter{instances: make(map[int]*instance), lastBatch: make(map[int]uint64)}
	reader := simproto.NewReader(in)
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.process(&batch); err != nil {
			return err
		}
		if _, err := a.reply.WriteTo(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// instance is one balancer and the setting that the adapter needs to interpret its load reports.
type instance struct {
	*balancer.Balancer
	queueLengthColumn int // column of the load reports that holds the queue length
}

// adapter holds the instances of this process by their number, and the state of the current batch.
type adapter struct {
	instances map[int]*instance
	touched   []int          // instances with an event in this batch, in the order of their first event
	batches   uint64         // number of batches processed, including the current one
	lastBatch map[int]uint64 // by instance: the number of the last batch with an event for it
	reply     simproto.Reply
}

// process handles all events of a batch, then calls Dispatch on each instance that had an event.
func (a *adapter) process(batch *simproto.Batch) error {
	a.reply.Reset()
	a.touched = a.touched[:0]
	a.batches++
	current := -1
	for {
		e, err := batch.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if e.Instance != current {
			current = e.Instance
			a.markTouched(current)
			a.reply.SetInstance(current)
		}
		if err := a.handle(batch, e); err != nil {
			return err
		}
	}
	for _, number := range a.touched {
		if i := a.instances[number]; i != nil {
			a.reply.SetInstance(number)
			i.Dispatch(batch.Now)
		}
	}
	return nil
}

// markTouched adds an instance to touched if this is its first event in the batch.
func (a *adapter) markTouched(number int) {
	if a.lastBatch[number] == a.batches {
		return
	}
	a.lastBatch[number] = a.batches
	a.touched = append(a.touched, number)
}

// handle starts or stops an instance, or passes an event to it. An event for an instance that has not started is
// an error.
func (a *adapter) handle(batch *simproto.Batch, e simproto.Event) error {
	switch e.Kind {
	case simproto.InstanceStarted:
		return a.start(batch, e)
	case simproto.InstanceStopped:
		delete(a.instances, e.Instance)
		return nil
	}
	i := a.instances[e.Instance]
	if i == nil {
		return fmt.Errorf("event code %d for instance %d, which has not started", e.Kind, e.Instance)
	}
	switch e.Kind {
	case simproto.RequestArrived:
		i.RequestArrived(batch.Now, e.Request)
	case simproto.AttemptEnded:
		e.AttemptEnd.QueueLength, e.AttemptEnd.Reported = e.Load.QueueLength(i.queueLengthColumn)
		i.AttemptEnded(batch.Now, e.AttemptEnd)
	case simproto.ResponseStarted:
		i.ResponseStarted(batch.Now, e.Request.ID)
	case simproto.RequestAbandoned:
		i.RequestAbandoned(batch.Now, e.Request.ID)
	case simproto.TimerFired:
		i.TimerFired(batch.Now, e.Token)
	case simproto.EndpointsChanged:
		i.UpdateEndpoints(batch.Now, e.Update, e.Endpoints)
	}
	return nil
}

// start creates an instance from the settings in the event. It replaces an instance with the same number.
func (a *adapter) start(batch *simproto.Batch, e simproto.Event) error {
	set, err := settings.Parse(e.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Instance, err)
	}
	b, err := balancer.New(set.Config, e.Seed, batch.Now, &a.reply)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Instance, err)
	}
	a.instances[e.Instance] = &instance{Balancer: b, queueLengthColumn: set.Gateway.QueueLengthColumn}
	return nil
}
