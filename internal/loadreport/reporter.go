package loadreport

import (
	"slices"
	"time"
)

// Minimum intervals between two reports of one gateway. Every report is forwarded by all gateways, several times. The
// interval therefore grows with the number of gateways, so that the traffic that each gateway sends stays bounded.
const (
	figuresInterval   = 4 * time.Second        // for a change of the figures
	figuresPerGateway = 200 * time.Millisecond // times the number of gateways, if that is longer
	urgentInterval    = time.Second            // for an urgent change
	urgentPerGateway  = 20 * time.Millisecond  // times the number of gateways, if that is longer
)

// Minimum changes of a figure for which a new report is sent.
const (
	minDemandChange = 2                // steps of factor demandStep
	minShareChange  = shareSteps/4 + 1 // steps of 1/shareSteps
	minHealthChange = 2                // points of the local health
)

// Reporter decides when a gateway sends a new report. The zero value has sent none.
type Reporter struct {
	last     Report
	lastAt   time.Duration
	reported bool
}

// Next returns the payload of the report and true if this gateway must send the report now. It must send the first
// report at once. It must send a later one if a figure has changed by its minimum or something urgent has changed,
// and if the minimum interval for this kind of change, which depends on the number of gateways, has passed since the
// last report.
func (r *Reporter) Next(now time.Duration, report Report, gateways int) ([]byte, bool) {
	elapsed, n := now-r.lastAt, time.Duration(gateways)
	due := !r.reported ||
		urgentlyDiffers(&report, &r.last) && elapsed >= max(urgentInterval, n*urgentPerGateway) ||
		figuresDiffer(&report, &r.last) && elapsed >= max(figuresInterval, n*figuresPerGateway)
	if !due {
		return nil, false
	}
	r.last, r.lastAt, r.reported = report, now, true
	return Append(nil, report), true
}

// urgentlyDiffers reports whether two reports differ in the ejected endpoints, the settings, the zone or in whether
// the figures are known.
func urgentlyDiffers(a, b *Report) bool {
	return a.Zone != b.Zone || a.HasFigures != b.HasFigures || a.ConfigHash != b.ConfigHash ||
		!slices.Equal(a.Ejected, b.Ejected)
}

// figuresDiffer reports whether a figure of two reports differs by its minimum change or more.
func figuresDiffer(a, b *Report) bool {
	return differBy(demandExponent(a.Demand), demandExponent(b.Demand), minDemandChange) ||
		(a.Demand > 0) != (b.Demand > 0) ||
		(a.Demand < 0) != (b.Demand < 0) ||
		differBy(a.LocalHealth, b.LocalHealth, minHealthChange) ||
		differBy(int(shareByte(a.Rejected)), int(shareByte(b.Rejected)), minShareChange) ||
		differBy(int(shareByte(a.FreeCapacity)), int(shareByte(b.FreeCapacity)), minShareChange)
}

func differBy(a, b, by int) bool { return a-b >= by || b-a >= by }
