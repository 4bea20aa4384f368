package admin

// Stats are the figures of this gateway. Maps without a comment are by class; counts run from the start of the
// process.
type Stats struct {
	Fulfilled       map[string]int64 `json:"fulfilled"`
	Throttled       map[string]int64 `json:"throttled"`
	Faulted         map[string]int64 `json:"faulted"`
	Forwarded       int64            `json:"relayed"`
	Open            int              `json:"open_requests"`
	Endpoints       int              `json:"registry_entries"`
	Unavailable     int              `json:"out_of_rotation"`
	ConfigsAccepted int              `json:"cfg_accepted"`
	ConfigsRejected int              `json:"cfg_invalid"`
	// Ends counts attempts and client connections by how they ended, Rejections rejected requests by reason;
	// Retries counts attempts beyond a request's first.
	Ends       map[string]uint64 `json:"ends"`
	Rejections map[string]uint64 `json:"refusals"`
	Retries    uint64            `json:"retries"`
	// Violations counts effects that would have broken an invariant, and were suppressed, by the invariant.
	Violations map[string]uint64 `json:"violations"`
}

// Encode returns the answer with the figures.
func (s Stats) Encode() []byte { return jsonResponse(s) }

// Cluster is this gateway's view of its cluster. Counts run from the start of the process.
type Cluster struct {
	Cluster string `json:"fleet"`
	Name    string `json:"name"`
	// Active reports that the gossip socket is open and that no other process gossips for this gateway.
	Active bool `json:"speaking"`
	// Joined counts how often this process joined: once more after each upgrade that failed.
	Joined        int               `json:"joined"`
	Settled       bool              `json:"settled"`
	Majority      bool              `json:"majority"`
	DuplicateName bool              `json:"twin"`
	Alive         int               `json:"alive"`
	Known         int               `json:"known"`
	Answering     float64           `json:"answering"` // share of the last periodic probes that were answered
	Health        int               `json:"health"`    // 0 is best, 8 is worst
	QuietMS       int64             `json:"quiet_ms"`
	Sent          uint64            `json:"sent"`
	SentBytes     uint64            `json:"sent_bytes"`
	Received      uint64            `json:"received"`
	ReceivedBytes uint64            `json:"received_bytes"`
	Refused       map[string]uint64 `json:"refused"`
	Members       []Member          `json:"members"`
	Assignment    *Assignment       `json:"portion,omitempty"`
}

// Assignment is this gateway's part of the endpoints, and how it came about.
type Assignment struct {
	Stage        string             `json:"stage"`    // waiting, settled, kept, changing
	Gateways     int                `json:"gateways"` // among which the endpoints are divided
	TokensActive bool               `json:"agreed"`   // most live members have the same settings: tokens are used
	RelativeLoad float64            `json:"crowd"`    // highest endpoint load for its capacity, relative to the mean
	Demand       float64            `json:"demand"`   // requests a second of the average class, as reported to members
	Tokens       uint64             `json:"turns"`    // slow-start tokens that this process has used
	Spares       int                `json:"spares"`
	Hosts        []AssignedEndpoint `json:"hosts"`
}

// AssignedEndpoint is one endpoint of an Assignment.
type AssignedEndpoint struct {
	Name             string  `json:"name"`
	Weight           float64 `json:"weight"` // relative to the other endpoints of this gateway
	Share            float64 `json:"part"`   // this gateway's share of the endpoint
	SlowStart        bool    `json:"cold"`
	SuspectedByPeers bool    `json:"doubted"` // several other gateways report it as bad
}

// Member is one gateway of a Cluster.
type Member struct {
	Name        string  `json:"name"`
	State       string  `json:"state"`
	Start       uint64  `json:"start_ms"` // Unix time
	Incarnation uint64  `json:"incarnation"`
	SinceMS     int64   `json:"since_ms"`               // in this state
	Previous    string  `json:"previous"`               // the state before
	SuspectedBy string  `json:"suspected_by,omitempty"` // the member that raised the last suspicion, if known
	RTTMS       float64 `json:"rtt_ms"`
	Addr        string  `json:"addr,omitempty"`
}

// Encode returns the answer with the view.
func (c Cluster) Encode() []byte { return jsonResponse(c) }
