package admin

// Stats holds the counters and gauges of this gateway. Counters count from the start of the process. The keys of the
// first three maps are the names of classes.
type Stats struct {
	Fulfilled       map[string]int64 `json:"fulfilled"` // requests answered with the response of an endpoint
	Throttled       map[string]int64 `json:"throttled"` // requests rejected
	Faulted         map[string]int64 `json:"faulted"`   // requests that failed
	Forwarded       int64            `json:"relayed"`   // requests written completely to endpoints
	OpenRequests    int              `json:"open_requests"`
	Endpoints       int              `json:"registry_entries"`
	Unavailable     int              `json:"out_of_rotation"`
	ConfigsAccepted int              `json:"cfg_accepted"`
	ConfigsRejected int              `json:"cfg_invalid"`
	// Ends counts attempts and client connections by the way in which they ended.
	Ends map[string]uint64 `json:"ends"`
	// Rejections counts rejected requests by reason.
	Rejections map[string]uint64 `json:"refusals"`
	// Retries counts attempts after the first attempt of a request.
	Retries uint64 `json:"retries"`
	// Upstream describes the use of connections to endpoints.
	Upstream Upstream `json:"upstream"`
	// Memory describes the memory for the buffers of connections.
	Memory Memory `json:"memory"`
	// Connections counts the open connections.
	Connections Connections `json:"connections"`
	// Violations counts, by invariant, the effects that were suppressed because they would have broken the invariant.
	Violations map[string]uint64 `json:"violations"`
}

// Upstream counts how connections to endpoints are used.
type Upstream struct {
	Opened uint64 `json:"opened"` // connections dialled
	Reused uint64 `json:"reused"` // attempts on a connection that had carried another one
	Waited uint64 `json:"waited"` // attempts that waited for the end of a connection's quiet time
	// UnsolicitedMaxMS is the longest time between a connection's last byte and bytes after it that belong to no
	// request. Stats.Ends counts such connections as "unsolicited".
	UnsolicitedMaxMS int64 `json:"unsolicited_max_ms"`
}

// Memory describes the memory that connections use for received and unwritten bytes. A connection may use a small part of
// its own beyond the limit.
type Memory struct {
	LimitBytes int `json:"limit_bytes"`
	UsedBytes  int `json:"used_bytes"`
	PeakBytes  int `json:"peak_bytes"` // the most that was used since the start of the process
}

// Connections counts the open connections.
type Connections struct {
	Downstream int `json:"downstream"`
	Upstream   int `json:"upstream"`
	Relays     int `json:"relays"` // large responses that are being passed to clients
}

// Encode returns the HTTP response with the statistics as JSON.
func (s Stats) Encode() []byte { return jsonResponse(s) }

// Cluster is this gateway's view of its cluster. Counters count from the start of the process.
type Cluster struct {
	Cluster string `json:"fleet"`
	Name    string `json:"name"`
	// Active reports that the gossip socket is open and that no other process gossips for this gateway.
	Active bool `json:"speaking"`
	// Joined counts how often this process has joined the cluster: once at its start, and again after each hot restart
	// that failed.
	Joined           int               `json:"joined"`
	Converged        bool              `json:"settled"`   // no change for 2 s, no suspect, Majority, no DuplicateName
	Majority         bool              `json:"majority"`  // most known members are unsuspected, most probes answered
	DuplicateName    bool              `json:"twin"`      // another live process uses the name of this gateway
	Alive            int               `json:"alive"`     // live members, including this gateway and suspected members
	Known            int               `json:"known"`     // Alive, members that failed recently, unreached seed peers
	ProbeAnswerShare float64           `json:"answering"` // answered share of the last 16 periodic probes, 0 to 1
	LocalHealth      int               `json:"health"`    // local health score: 0 is best, 8 is worst
	StableForMS      int64             `json:"quiet_ms"`  // time since the state of a member last changed
	Sent             uint64            `json:"sent"`
	SentBytes        uint64            `json:"sent_bytes"`
	Received         uint64            `json:"received"`
	ReceivedBytes    uint64            `json:"received_bytes"`
	Refused          map[string]uint64 `json:"refused"` // datagrams and members not accepted or not sent, by reason
	Members          []Member          `json:"members"`
	Assignment       *Assignment       `json:"portion,omitempty"`
}

// Assignment describes the endpoints that are assigned to this gateway, and the inputs of the assignment.
type Assignment struct {
	Stage    string `json:"stage"`    // state of the assignment: waiting, settled, kept or changing
	Gateways int    `json:"gateways"` // number of gateways among which the endpoints are divided
	// TokensActive reports that slow-start tokens are used: a majority has had the same settings long enough.
	TokensActive bool    `json:"agreed"`
	RelativeLoad float64 `json:"crowd"` // highest load per capacity of any endpoint, relative to the mean
	// Demand is the demand that this gateway reports to the others, in requests per second of the average class.
	Demand         float64            `json:"demand"`
	Tokens         uint64             `json:"turns"`  // number of slow-start tokens that this process has used
	SpareEndpoints int                `json:"spares"` // other endpoints, used if the assigned ones fail or are full
	Endpoints      []AssignedEndpoint `json:"hosts"`
}

// AssignedEndpoint is one endpoint of an Assignment.
type AssignedEndpoint struct {
	Name             string  `json:"name"`
	Weight           float64 `json:"weight"` // relative to the weights of this gateway's other endpoints
	Share            float64 `json:"part"`   // this gateway's share of the endpoint
	SlowStart        bool    `json:"cold"`
	SuspectedByPeers bool    `json:"doubted"` // at least two other gateways report that they have ejected the endpoint
}

// Member is one gateway of a Cluster.
type Member struct {
	Name        string  `json:"name"`
	State       string  `json:"state"`
	StartMS     uint64  `json:"start_ms"` // start of the process, in ms of Unix time
	Incarnation uint64  `json:"incarnation"`
	SinceMS     int64   `json:"since_ms"`               // how long the member has been in this state
	Previous    string  `json:"previous"`               // the state before the present one
	SuspectedBy string  `json:"suspected_by,omitempty"` // the member that raised the last suspicion, if known
	RTTMS       float64 `json:"rtt_ms"`
	Addr        string  `json:"addr,omitempty"`
}

// Encode returns the HTTP response with the view as JSON.
func (c Cluster) Encode() []byte { return jsonResponse(c) }
