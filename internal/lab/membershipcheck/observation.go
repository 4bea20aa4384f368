package membershipcheck

import "time"

// Observation is the view of one process at one time.
type Observation struct {
	At             time.Duration `json:"at_ns"`
	Gateway        int           `json:"gateway"`
	PID            int           `json:"pid"`
	Active         bool          `json:"speaking"`
	JoinCount      int           `json:"joined"` // how often the process has joined the cluster
	Converged      bool          `json:"settled"`
	Majority       bool          `json:"majority"`
	DuplicateName  bool          `json:"twin"`
	Alive          int           `json:"alive"`
	SentBytes      uint64        `json:"sent_bytes"`
	UnknownMembers int           `json:"strangers"` // number of members that are not gateways of the cluster
	Members        []MemberView  `json:"members"`   // by gateway number; State is empty if the gateway is unknown
	Assignment     *Assignment   `json:"portion,omitempty"`
}

// Assignment is the part of the endpoints that a process uses, if the cluster divides them among the gateways.
type Assignment struct {
	Stage        string             `json:"stage"` // waiting, settled, kept, changing
	Tokens       uint64             `json:"turns"` // total taken by the process for endpoints in slow start
	RelativeLoad float64            `json:"crowd"`
	Shares       map[string]float64 `json:"parts"` // by endpoint name, without endpoints in slow start
	SlowStart    []string           `json:"cold,omitempty"`
}

// MemberView is what a process's view holds of one gateway.
type MemberView struct {
	State       string `json:"state"`
	Start       uint64 `json:"start_ms"`
	Incarnation uint64 `json:"incarnation"`
	// Since is the time of the last change of State on the history's clock. It reveals a state that was entered and
	// corrected between two observations.
	Since time.Duration `json:"since_ns"`
	// Previous is the state before State; SuspectedBy names the member that raised the last suspicion. Both are
	// empty if they were not reported.
	Previous    string `json:"previous,omitempty"`
	SuspectedBy string `json:"suspected_by,omitempty"`
}

// removed reports whether the state is gone or left.
func (b MemberView) removed() bool { return b.State == "gone" || b.State == "left" }
