package membershipcheck

import "time"

// What a gateway may send, over any stretch longer than budgetWindow.
const (
	budgetWindow      = 10 * time.Second
	maxBytesPerSecond = 4000.0 // without the headers of IP and UDP
	// Where many start at once, each name goes through all within some seconds: so much more for each gateway beyond
	// smallCluster.
	smallCluster       = 16
	maxBytesPerGateway = 60.0
	// loadReportFactor is for clusters whose gateways report their load.
	loadReportFactor = 1.4
)

func overBudget(h *History, report reporter) {
	most := maxBytesPerSecond + maxBytesPerGateway*float64(max(0, h.count-smallCluster))
	if h.reportsLoad {
		most *= loadReportFactor
	}
	recent := make(map[int][]*Observation) // by process, those of the last budgetWindow
	h.eachObservation(func(_, is *Observation) {
		list := append(recent[is.PID], is)
		for is.At-list[0].At > budgetWindow {
			rate := float64(is.Sent-list[0].Sent) / (is.At - list[0].At).Seconds()
			if rate > most && is.Sent > list[0].Sent {
				report(is.At, is.Gateway, "sent %.0f bytes a second over %v", rate, budgetWindow)
			}
			list = list[1:]
		}
		recent[is.PID] = list
	})
}
