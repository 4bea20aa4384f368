package membershipcheck

import "time"

// Observation is what one process believes at a moment.
type Observation struct {
	At            time.Duration `json:"at_ns"`
	Gateway       int           `json:"gateway"`
	PID           int           `json:"pid"`
	Speaking      bool          `json:"speaking"`
	Join          int           `json:"joined"` // which of the process's memberships it is
	Settled       bool          `json:"settled"`
	Majority      bool          `json:"majority"`
	DuplicateName bool          `json:"twin"`
	Alive         int           `json:"alive"`
	Sent          uint64        `json:"sent_bytes"`
	Strangers     int           `json:"strangers"` // members that are no gateway of the cluster
	Beliefs       []Belief      `json:"members"`   // by number; of those not known State is empty
	Assignment    *Assignment   `json:"portion,omitempty"`
}

// Assignment is what a process has of the endpoints, where the cluster assigns them.
type Assignment struct {
	Stage        string             `json:"stage"` // waiting, settled, kept, changing
	Tokens       uint64             `json:"turns"` // taken so far, at endpoints in slow start
	RelativeLoad float64            `json:"crowd"`
	Shares       map[string]float64 `json:"parts"` // of endpoints that are not in slow start, by name
	SlowStart    []string           `json:"cold,omitempty"`
}

// Belief is what a process holds of a gateway.
type Belief struct {
	State       string `json:"state"`
	Start       uint64 `json:"start_ms"`
	Incarnation uint64 `json:"incarnation"`
	// Since is since when, on the record's clock: what was taken back between two observations shows in it.
	Since time.Duration `json:"since_ns"`
	// Previous is the state before, and SuspectedBy who raised the last suspicion; empty where that is not told.
	Previous    string `json:"previous,omitempty"`
	SuspectedBy string `json:"suspected_by,omitempty"`
}

// removed reports whether the gateway is held gone or left.
func (b Belief) removed() bool { return b.State == "gone" || b.State == "left" }
