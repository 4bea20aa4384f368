// Package concurrency implements the control loops of ILAC (Nylander et al., ICAC 2018): the concurrency
// limit of each endpoint, the queue-time threshold, and the response setpoint, which scales the targets of
// the other two loops. All loops sample every SamplePeriod. Each endpoint has a Limit, driven by its service
// times; a gateway has one QueueThreshold and one ResponseSetpoint.
//
// The types have no clock, draw no random numbers and are not safe for concurrent use. Service times are in
// milliseconds; queue times and response times are multiples of the latency objective.
package concurrency

import "time"

// SamplePeriod is the sampling period of all loops, the value used in the paper.
const SamplePeriod = 250 * time.Millisecond

// QueueingShare is the share of the latency objective budgeted for waiting in the gateway's queue (the
// paper's gamma, hence ILAC-0.9). ServiceShare is the remaining share, budgeted for service at the endpoint.
const (
	QueueingShare = 0.9
	ServiceShare  = 1 - QueueingShare
)
