package scale

import (
	"encoding/json"
	"io"
	"time"
)

// ResultVersion is that of the result's form.
const ResultVersion = 1

// Amount is a figure over the gateways.
type Amount struct {
	Mean  float64 `json:"mean"`
	Worst float64 `json:"worst"`
}

// Traffic is what gateways send and receive, in bytes a second with the headers of IP and of UDP or TCP.
type Traffic struct {
	Sent     Amount `json:"sent_bytes_s"`
	Received Amount `json:"received_bytes_s"`
}

// Budget is what a gateway spends on control in the measured time.
type Budget struct {
	All           Traffic `json:"all"`
	View          Traffic `json:"view"`
	Configuration Traffic `json:"configuration"`
	// Processor is in shares of a core, without divisions of hosts. It is the thread's time for views; the
	// configuration's is counted by the clock, with the time in which other programs had the processor.
	Processor Amount `json:"processor"`
	// HeapMean is the heap of the whole process after a collection over the gateways, in bytes: the
	// simulator's own state counts as theirs. Full gateways' lists and settings do not.
	HeapMean uint64 `json:"heap_mean_bytes"`
}

// Start is what the start of all gateways together comes to.
type Start struct {
	Settled   float64 `json:"settled_s"` // from the last start until each view is the truth; 0 if that was not reached
	Sent      Amount  `json:"sent_bytes"`
	Processor Amount  `json:"processor_s"`
}

// Configuration is how changes of it spread.
type Configuration struct {
	First        float64  `json:"first_s"` // until the first whole configuration is in force at all
	Submitted    int      `json:"submitted"`
	Unfinished   int      `json:"unfinished"` // not in force at all when the run ended
	Late         int      `json:"late"`       // in force at all after more than 8 s
	Median       Times    `json:"median"`
	Worst        Times    `json:"worst"`
	ControlSent  Amount   `json:"control_sent_bytes_s"`
	ControlTaken Amount   `json:"control_received_bytes_s"`
	ControlUsed  Amount   `json:"control_processor"` // in shares of a core, by the clock
	MostLinks    int      `json:"most_gateways_of_a_control_machine"`
	BrokenRules  []string `json:"broken_rules"`
}

// Full is what lists, divisions and settings cost a gateway, measured at some of them.
type Full struct {
	Gateways        int      `json:"gateways"`
	SettingsTime    float64  `json:"settings_s"`
	SettingsHeap    uint64   `json:"settings_heap_bytes"`
	ListTime        float64  `json:"list_s"`
	ListHeap        uint64   `json:"list_heap_bytes"`
	Divisions       int      `json:"divisions"` // that changed what a gateway uses, over the whole run
	DivisionLongest float64  `json:"division_longest_s"`
	DivisionShare   Amount   `json:"division_processor"` // in shares of a core, over the measured time
	Problems        []string `json:"problems"`
}

// Second is a second of the run.
type Second struct {
	At    float64 `json:"at_s"`
	Mean  float64 `json:"sent_mean_bytes"`
	Worst float64 `json:"sent_worst_bytes"`
	Alive int     `json:"gateways_running"`
}

// Result is what a run came to.
type Result struct {
	Version  int     `json:"version"`
	Options  Options `json:"options"`
	Partial  bool    `json:"partial"` // told to end before it was through
	Lasted   float64 `json:"measured_s"`
	Took     float64 `json:"took_s"` // of real time, all in all
	Start    Start   `json:"start"`
	Gateway  Budget  `json:"gateway"`
	Crash    Spread  `json:"crash_known"`
	Join     Spread  `json:"join_known"`
	Doubts   int     `json:"false_doubts"` // refutations by gateways that ran
	Removals int     `json:"false_removals"`
	// Observers are the gateways at which false removals were looked for, each second.
	Observers int     `json:"observers"`
	Recovered float64 `json:"recovered_s"` // from the end of the measured time until each view is the truth; below 0: not within 60 s
	// Healed is, for each time that regions were parted, from its end until each view is the truth, if
	// that came.
	Healed        []float64      `json:"healed_s"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Full          *Full          `json:"full,omitempty"`
	Seconds       []Second       `json:"seconds"`
	BrokenRules   []string       `json:"broken_rules"`
}

// WriteJSON writes a result.
func WriteJSON(out io.Writer, r any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// amount sums figures up.
func amount(list []float64) (a Amount) {
	for _, v := range list {
		a.Mean += v / float64(len(list))
		a.Worst = max(a.Worst, v)
	}
	return a
}
