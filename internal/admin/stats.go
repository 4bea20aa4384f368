package admin

// Stats are what the operators read. Counts are by class and run from the start of the process.
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
	// Ends counts how attempts and client connections ended, Refusals why requests were refused, by
	// reason; Retries counts attempts beyond a request's first.
	Ends       map[string]uint64 `json:"ends"`
	Rejections map[string]uint64 `json:"refusals"`
	Retries    uint64            `json:"retries"`
	// Violations counts effects that would have broken a rule, and were held back, by the rule.
	Violations map[string]uint64 `json:"violations"`
}

// Encode is the answer with the figures.
func (f Stats) Encode() []byte { return jsonResponse(f) }

// Cluster is this gateway's view of the others. Counts run from the start of the process.
type Cluster struct {
	Cluster string `json:"fleet"`
	Name    string `json:"name"`
	// Active tells that its gossip socket is open and that no other process speaks for this gateway.
	Active bool `json:"speaking"`
	// Joined is how often this process joined: again after an upgrade that came to nothing.
	Joined        int               `json:"joined"`
	Settled       bool              `json:"settled"`
	Majority      bool              `json:"majority"`
	DuplicateName bool              `json:"twin"`
	Alive         int               `json:"alive"`
	Known         int               `json:"known"`
	Answering     float64           `json:"answering"` // of those asked lately
	Health        int               `json:"health"`    // 0 is well, 8 is worst
	QuietMS       int64             `json:"quiet_ms"`
	Sent          uint64            `json:"sent"`
	SentBytes     uint64            `json:"sent_bytes"`
	Received      uint64            `json:"received"`
	ReceivedBytes uint64            `json:"received_bytes"`
	Refused       map[string]uint64 `json:"refused"`
	Members       []Member          `json:"members"`
	Assignment    *Assignment       `json:"portion,omitempty"`
}

// Assignment is what this gateway has of the fleet's endpoints, and why.
type Assignment struct {
	Stage        string             `json:"stage"`    // waiting, settled, kept, changing
	Gateways     int                `json:"gateways"` // that the division in force counts
	TokensActive bool               `json:"agreed"`   // most members alive have the same settings: tokens are taken
	RelativeLoad float64            `json:"crowd"`    // largest load over capacity of an endpoint, over the mean; 1 is even
	Demand       float64            `json:"demand"`   // requests a second of the average class, as reported to the others
	Tokens       uint64             `json:"turns"`    // at cold endpoints, taken by this process
	Spares       int                `json:"spares"`
	Hosts        []AssignedEndpoint `json:"hosts"`
}

// AssignedEndpoint is one endpoint in it.
type AssignedEndpoint struct {
	Name             string  `json:"name"`
	Weight           float64 `json:"weight"` // among this gateway's
	Share            float64 `json:"part"`   // of the endpoint that is this gateway's
	SlowStart        bool    `json:"cold"`
	SuspectedByPeers bool    `json:"doubted"` // several others found it bad
}

// Member is one gateway in it.
type Member struct {
	Name        string  `json:"name"`
	State       string  `json:"state"`
	Start       uint64  `json:"start_ms"` // Unix time
	Incarnation uint64  `json:"incarnation"`
	SinceMS     int64   `json:"since_ms"`               // in this state
	Previous    string  `json:"previous"`               // state before it
	SuspectedBy string  `json:"suspected_by,omitempty"` // who raised the last suspicion, where that was told
	RTTMS       float64 `json:"rtt_ms"`
	Addr        string  `json:"addr,omitempty"`
}

// Encode is the answer with the view.
func (f Cluster) Encode() []byte { return jsonResponse(f) }
