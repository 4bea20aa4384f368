package membershipcheck

import "time"

// Limits of the bytes that a gateway may send over any period longer than budgetWindow.
const (
	budgetWindow      = 10 * time.Second
	maxBytesPerSecond = 4000.0 // without IP and UDP headers
	// If many gateways start at once, every name is propagated to all of them within some seconds: the limit grows
	// by maxBytesPerGateway bytes per second for each gateway above smallCluster.
	smallCluster       = 16
	maxBytesPerGateway = 60.0
	// loadReportFactor multiplies the limit in clusters whose gateways report their load.
	loadReportFactor = 1.4
)

func overBudget(h *History, report reporter) {
	limit := maxBytesPerSecond + maxBytesPerGateway*float64(max(0, h.count-smallCluster))
	if h.reportsLoad {
		limit *= loadReportFactor
	}
	recent := make(map[int][]*Observation) // by process ID: observations within budgetWindow
	h.eachObservation(func(_, current *Observation) {
		list := append(recent[current.PID], current)
		for current.At-list[0].At > budgetWindow {
			rate := float64(current.SentBytes-list[0].SentBytes) / (current.At - list[0].At).Seconds()
			if rate > limit && current.SentBytes > list[0].SentBytes {
				report(current.At, current.Gateway, "sent %.0f bytes a second over %v", rate, budgetWindow)
			}
			list = list[1:]
		}
		recent[current.PID] = list
	})
}
