package gateway

// Field names of log lines. Durations are in milliseconds.
const (
	fieldAccepting         = "accepting"
	fieldAfter             = "after" // time since the start of the request, response or attempt
	fieldAge               = "age"   // time since the connection was accepted
	fieldAlive             = "alive"
	fieldAttempt           = "attempt" // index of an attempt, 0 for the first
	fieldAttempts          = "attempts"
	fieldBegin             = "begin" // the first bytes of received data
	fieldBytes             = "bytes"
	fieldCause             = "cause"
	fieldClass             = "class"
	fieldClasses           = "classes"
	fieldClientTimeout     = "client_timeout"
	fieldClockSkew         = "clock_skew"
	fieldCluster           = "cluster"
	fieldCount             = "count" // events of this kind since the start of the process
	fieldDetail            = "detail"
	fieldDiscovery         = "discovery"
	fieldDownstreamConn    = "downstream_conn" // number of a connection
	fieldDownstreamWriting = "downstream_writing"
	fieldDuplicateName     = "duplicate_name"
	fieldEnd               = "end" // a TerminationReason, as in ends of /ops/stats
	fieldEndpoint          = "endpoint"
	fieldFrom              = "from"
	fieldHandedOver        = "handed_over"
	fieldHeld              = "held" // memory that a connection uses for buffers, in bytes
	fieldID                = "id"   // the client's id of a request
	fieldKnown             = "known"
	fieldLength            = "length"
	fieldLimit             = "limit" // of the memory for buffers, in bytes
	fieldListen            = "listen"
	fieldLocalHealth       = "local_health"
	fieldMajority          = "majority"
	fieldOutcome           = "outcome"
	fieldOverloadWindow    = "overload_window"
	fieldPartlyRead        = "partly_read" // part of a request was read
	fieldReason            = "reason"      // of a rejection, as in /ops/stats
	fieldReceived          = "received"
	fieldRequest           = "request" // this gateway's number of a request
	fieldRequests          = "requests"
	fieldRequestsBefore    = "requests_before" // earlier requests on the same connection
	fieldRetryAfter        = "retry_after"
	fieldRule              = "rule" // of an invariant, as in violations of /ops/stats
	fieldSeedPeers         = "seed_peers"
	fieldSilent            = "silent" // time since the last byte, or since the watch ended
	fieldSlowStartFraction = "slow_start_fraction"
	fieldStaleFor          = "stale_for" // how long the agent's list has been older than this gateway's
	fieldStatus            = "status"
	fieldTimeLeft          = "time_left"     // time remaining until the client's or the attempt's deadline
	fieldUpstreamConn      = "upstream_conn" // number of a connection
	fieldUpstreamPaused    = "upstream_paused"
	fieldUsed              = "used" // memory for buffers in use, in bytes
	fieldWaiting           = "waiting"
)
