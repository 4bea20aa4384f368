// Package concurrency holds the control loops of ILAC (Nylander et al., ICAC 2018): the concurrency limit
// of each endpoint, the queue-time threshold, and the response setpoint that splits the latency objective
// between them. All sample every SamplePeriod. A Limit is steered by the service times of one endpoint; the
// two others exist once for a gateway.
//
// The types have no clock, draw no random numbers and are not safe for concurrent use. Times of service are
// in milliseconds, queue and response times are multiples of the latency objective.
package concurrency

import "time"

// SamplePeriod is the sampling period of all loops, as in the paper.
const SamplePeriod = 250 * time.Millisecond

// QueueingShare is the part of the latency objective that is meant for waiting in the gateway's queue (the
// paper's gamma, hence ILAC-0.9). ServiceShare is the rest.
const (
	QueueingShare = 0.9
	ServiceShare  = 1 - QueueingShare
)
