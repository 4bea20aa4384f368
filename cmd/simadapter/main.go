// Command adapter hosts instances of the decision module behind the wire on standard input and output.
// It takes no decisions.
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

// host keeps the instances of this process by their number.
type host struct {
	instances map[int]*balancer.Balancer
	waiting   map[int]int // by instance: the column of its load reports that holds the requests waiting
	touched   []int       // instances with an event in this batch, in the order of their first
	batches   uint64
	seen      map[int]uint64 // by instance: the batch in which it was touched last
	reply     simproto.Reply
}

// run answers batches until the input ends. A reply is written whole or not at all.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: make(map[int]*balancer.Balancer), waiting: make(map[int]int),
		seen: make(map[int]uint64)}
	reader := simproto.NewReader(in)
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.answer(&batch); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// answer plays all events of a batch, then lets each instance that had one dispatch.
func (h *host) answer(batch *simproto.Batch) error {
	h.reply.Reset()
	h.touched = h.touched[:0]
	h.batches++
	last := -1
	for {
		e, err := batch.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if e.Instance != last {
			last = e.Instance
			h.touch(last)
			h.reply.For(last)
		}
		if err := h.play(batch, e); err != nil {
			return err
		}
	}
	for _, inst := range h.touched {
		if b := h.instances[inst]; b != nil {
			h.reply.For(inst)
			b.Dispatch(batch.Now)
		}
	}
	return nil
}

func (h *host) touch(inst int) {
	if h.seen[inst] == h.batches {
		return
	}
	h.seen[inst] = h.batches
	h.touched = append(h.touched, inst)
}

func (h *host) play(batch *simproto.Batch, e simproto.Event) error {
	b := h.instances[e.Instance]
	if b == nil && e.Kind != simproto.Start && e.Kind != simproto.Stop {
		return fmt.Errorf("event code %d for instance %d, which has not started", e.Kind, e.Instance)
	}
	switch e.Kind {
	case simproto.Start:
		set, err := settings.Parse(e.Settings)
		if err != nil {
			return fmt.Errorf("instance %d: %w", e.Instance, err)
		}
		b, err := balancer.New(set.Config, e.Seed, batch.Now, &h.reply)
		if err != nil {
			return fmt.Errorf("instance %d: %w", e.Instance, err)
		}
		h.instances[e.Instance] = b
		h.waiting[e.Instance] = set.Gateway.Waiting
	case simproto.Stop:
		delete(h.instances, e.Instance)
	case simproto.NewRequest:
		b.RequestArrived(batch.Now, e.Request)
	case simproto.AttemptEnded:
		e.End.QueueLength, e.End.Reported = e.Load.Waiting(h.waiting[e.Instance])
		b.AttemptEnded(batch.Now, e.End)
	case simproto.First:
		b.ResponseStarted(batch.Now, e.Request.ID)
	case simproto.Lapsed:
		b.RequestAbandoned(batch.Now, e.Request.ID)
	case simproto.TimerFired:
		b.TimerFired(batch.Now, e.Token)
	case simproto.ListChanged:
		b.UpdateEndpoints(batch.Now, e.List, e.Servers)
	}
	return nil
}
