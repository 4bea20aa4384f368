package loadreport

import (
	"slices"
	"time"
)

// Times between two reports of one gateway. Each goes through all gateways, several times: the more there are, the
// seldomer each reports, so that what a gateway sends stays bounded.
const (
	figuresInterval   = 4 * time.Second
	figuresPerGateway = 200 * time.Millisecond
	urgentInterval    = time.Second
	urgentPerGateway  = 20 * time.Millisecond
)

// How far figures have to move for a report.
const (
	minDemandChange = 2 // steps
	minShareChange  = shareSteps/4 + 1
	minHealthChange = 2
)

// Reporter decides when a gateway reports anew. The zero value has reported nothing.
type Reporter struct {
	last     Report
	lastAt   time.Duration
	reported bool
}

// Next returns the payload to spread in a cluster of so many gateways, and whether it is to be spread now: a figure
// has moved clearly since the last report and that was long ago, or something urgent has changed and it was not just
// now.
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

// urgentlyDiffers reports whether other endpoints are ejected, or the gateway's file is another.
func urgentlyDiffers(a, b *Report) bool {
	return a.Zone != b.Zone || a.Known != b.Known || a.ConfigHash != b.ConfigHash || !slices.Equal(a.Ejected, b.Ejected)
}

// figuresDiffer reports whether a figure differs clearly.
func figuresDiffer(a, b *Report) bool {
	return differBy(demandExponent(a.Demand), demandExponent(b.Demand), minDemandChange) ||
		(a.Demand > 0) != (b.Demand > 0) ||
		(a.Demand < 0) != (b.Demand < 0) ||
		differBy(a.LocalHealth, b.LocalHealth, minHealthChange) ||
		differBy(int(shareByte(a.Rejected)), int(shareByte(b.Rejected)), minShareChange) ||
		differBy(int(shareByte(a.FreeCapacity)), int(shareByte(b.FreeCapacity)), minShareChange)
}

func differBy(a, b, by int) bool { return a-b >= by || b-a >= by }
