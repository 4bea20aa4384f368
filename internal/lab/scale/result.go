package scale

import (
	"encoding/json"
	"io"
	"time"
)

// ResultVersion is the version of the result's JSON format.
const ResultVersion = 1

// Summary holds the mean and the largest value of a figure over the gateways.
type Summary struct {
	Mean  float64 `json:"mean"`
	Worst float64 `json:"worst"`
}

// Traffic holds what gateways send and receive, in bytes per second including the headers of IP and of UDP or TCP.
type Traffic struct {
	Sent     Summary `json:"sent_bytes_s"`
	Received Summary `json:"received_bytes_s"`
}

// ControlCost holds the traffic, processor time and memory that a gateway spends on control in the measured period.
type ControlCost struct {
	All           Traffic `json:"all"`
	View          Traffic `json:"view"`
	Configuration Traffic `json:"configuration"`
	// Processor is in shares of a core, without the divisions of endpoints. The share of views is measured as the
	// thread's processor time; the share of the configuration is measured by the clock and so includes the time in
	// which other programs had the processor.
	Processor Summary `json:"processor"`
	// HeapMean is the heap of the whole process after a garbage collection divided by the number of gateways, in
	// bytes. It includes the simulator's state and excludes the lists and settings of full gateways.
	HeapMean uint64 `json:"heap_mean_bytes"`
}

// Start holds the cost and duration of the start of all gateways.
type Start struct {
	Converged float64 `json:"settled_s"` // from the last start until each view is correct; 0 if that was not reached
	Sent      Summary `json:"sent_bytes"`
	Processor Summary `json:"processor_s"`
}

// Configuration holds the figures of the distribution of configuration changes.
type Configuration struct {
	InitialDistribution float64  `json:"first_s"` // until the first whole configuration is in force at all gateways
	Submitted           int      `json:"submitted"`
	Unfinished          int      `json:"unfinished"` // not in force at all gateways when the run ended
	MissedObjective     int      `json:"late"`       // in force at all gateways, after more than 8 s
	Median              Times    `json:"median"`
	Worst               Times    `json:"worst"`
	ControlSent         Summary  `json:"control_sent_bytes_s"`
	ControlReceived     Summary  `json:"control_received_bytes_s"`
	ControlCPU          Summary  `json:"control_processor"` // in shares of a core, by the clock
	MaxSubscribers      int      `json:"most_gateways_of_a_control_machine"`
	Violations          []string `json:"broken_rules"`
}

// Full holds what endpoint lists, their divisions and settings cost a gateway, measured at the full gateways.
type Full struct {
	Gateways        int      `json:"gateways"`
	SettingsTime    float64  `json:"settings_s"`
	SettingsHeap    uint64   `json:"settings_heap_bytes"`
	ListTime        float64  `json:"list_s"`
	ListHeap        uint64   `json:"list_heap_bytes"`
	Divisions       int      `json:"divisions"` // number of divisions that changed a gateway's subset, over the whole run
	DivisionLongest float64  `json:"division_longest_s"`
	DivisionShare   Summary  `json:"division_processor"` // in shares of a core, over the measured period
	Problems        []string `json:"problems"`
}

// Second holds the figures of one second of a run: what a gateway sent, and the number of running gateways.
type Second struct {
	At    float64 `json:"at_s"`
	Mean  float64 `json:"sent_mean_bytes"`
	Worst float64 `json:"sent_worst_bytes"`
	Alive int     `json:"gateways_running"`
}

// Result is the result of a run.
type Result struct {
	Version         int         `json:"version"`
	Options         Options     `json:"options"`
	Partial         bool        `json:"partial"` // the run was interrupted before its end
	Measured        float64     `json:"measured_s"`
	Elapsed         float64     `json:"took_s"` // real time of the whole run
	Start           Start       `json:"start"`
	Gateway         ControlCost `json:"gateway"`
	Crash           Propagation `json:"crash_known"`
	Join            Propagation `json:"join_known"`
	FalseSuspicions int         `json:"false_doubts"` // number of suspicions refuted by running gateways
	FalseRemovals   int         `json:"false_removals"`
	// Observers is the number of gateways whose views were examined for false removals each second.
	Observers int `json:"observers"`
	// Recovered is the time from the end of the measured period until each view is correct, below 0 if that took more
	// than 60 s.
	Recovered float64 `json:"recovered_s"`
	// HealingTimes holds, for each partition of the regions, the time from its end until each view was correct. It lacks
	// partitions after which that was not reached.
	HealingTimes  []float64      `json:"healed_s"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Full          *Full          `json:"full,omitempty"`
	Seconds       []Second       `json:"seconds"`
	Violations    []string       `json:"broken_rules"`
}

// WriteJSON writes a result or a sweep as indented JSON.
func WriteJSON(out io.Writer, r any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// newSummary returns the mean and the largest of the values.
func newSummary(list []float64) (a Summary) {
	for _, v := range list {
		a.Mean += v / float64(len(list))
		a.Worst = max(a.Worst, v)
	}
	return a
}
