// Package simproto speaks the binary dialect of the simulator's protocol: a Reader reads batches of events, a
// Reply writes actions. It takes no decisions.
//
// A frame has a header, records of one size, and a tail that holds what has no fixed size. All numbers are
// little-endian, only IPv4 addresses are big-endian. The protocol's own names stand here alone:
//
//	event            code  here               action           code  here
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
// cause is one of this package's.
package simproto
