// Package simproto implements the binary form of the simulator's protocol: a Reader decodes batches of events, a
// Reply encodes the actions that answer a batch. It takes no decisions.
//
// A frame has a header, records of one fixed size, and a tail that holds the parts of variable size. All numbers are
// little-endian, except IPv4 addresses, which are big-endian. This table maps the protocol's names of events and
// actions, which occur nowhere else, to the names in this package:
//
//	event            code  name here          action           code  name here
//	Verdict             1  AttemptEnded       Emit                1  Reply.Log
//	Lapsed              2  RequestAbandoned   Revoke              2  Reply.CancelAttempt
//	TimeoutFired        3  TimerFired         Busy                3  Reply.Reject
//	First               4  ResponseStarted    HandOff             4  Reply.StartAttempt
//	RosterChange        5  EndpointsChanged   WakeMe              5  Reply.SetTimer
//	ProbeResult         6  ProbeEnded         DropConns           6  Reply.CloseIdle
//	Query               7  RequestArrived     Tail               10  Reply.WatchEndpoints
//	To                  8  (Event.Instance)   EndFailed          11  Reply.Fail
//	Datagram            9  PeerMessage        As                 13  Reply.SetInstance
//	PowerOn            10  InstanceStarted
//	Kill               11  InstanceStopped
//
// Errors wrap a fielderror.Error whose File is the part of the frame, such as "batch" or "record 3", and whose
// cause is an error of this package, such as ErrTruncated.
package simproto
