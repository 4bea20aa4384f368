// Package loadreport words what a gateway tells the others of its own state in the payload that its fleet's view spreads, and
// reads theirs with care: old words fade, and one gateway's word counts only so far. It does no I/O and has no clock.
// docs/design/shares.md says why it is so.
package loadreport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// The forms of a payload. Form 1 holds the zone alone.
const (
	formZone = 1
	formOne  = 2
)

// Steps and bounds.
const (
	step       = 1.25 // of demand
	leastStep  = -60  // 1.5e-6 requests a second
	mostStep   = 100  // 4.9e9
	nothing    = leastStep - 1
	unknown    = 255 // the byte of a demand that is not known
	parts      = 64  // of shares
	mostHealth = 8
	mostZone   = 1 << 16
	// Fade is how long the word of a member counts that is not alive now.
	Fade = 10 * time.Second
	// mostParts and leastPart bound one gateway's demand, over the median of those known.
	mostParts, leastPart = 8.0, 1.0 / 64
)

// Report is what a gateway tells of itself.
type Report struct {
	Zone         int
	Demand       float64 // requests a second by weight; 0: none, below 0: not known yet
	Rejected     float64 // share of it, 0 to 1
	FreeCapacity float64 // share of its hosts' limits that is free, 0 to 1
	LocalHealth  int     // 0 is well, 8 is worst
	Known        bool    // demand and the rest were told; else the zone alone
	// ConfigHash is a mark of what turns rest on, so that gateways whose files differ find out.
	ConfigHash uint32
	// Ejected are hosts that this gateway has found bad, by Mark, sorted, MostBad at most.
	Ejected []uint32
}

// MostBad is how many hosts a payload names.
const MostBad = 12

// EndpointHash is a host's number in a payload. Two hosts of a fleet of 200 have the same in one of 200,000 fleets, and doubt alone
// ejects nobody.
func EndpointHash(host uint64) uint32 { return uint32(host ^ host>>32) }

// EndpointHashes words hosts for a payload. Of more than it has room for the first by number are named.
func EndpointHashes(hosts []uint64) []uint32 {
	var out []uint32
	for _, h := range hosts {
		out = append(out, EndpointHash(h))
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), MostBad)]
}

// ErrForm is that of a payload of a form that this program does not know.
var ErrForm = errors.New("signals: unknown form")

// exponent is a demand in steps.
func exponent(demand float64) int {
	if !(demand > 0) {
		return nothing
	}
	return int(math.Round(math.Log(min(max(demand, 1e-300), 1e300)) / math.Log(step)))
}

func share(v float64) byte {
	if !(v > 0) {
		return 0
	}
	return byte(math.Round(min(v, 1) * parts))
}

// Append adds a signal's words to a payload. What is out of its bounds is told at the bound.
func Append(b []byte, s Report) []byte {
	zone := uint64(min(max(s.Zone, 0), mostZone))
	if !s.Known {
		return binary.AppendUvarint(append(b, formZone), zone)
	}
	b = binary.AppendUvarint(append(b, formOne), zone)
	e := exponent(s.Demand)
	if s.Demand > 0 {
		e = min(max(e, leastStep), mostStep)
	}
	told := byte(e - nothing)
	if s.Demand < 0 {
		told = unknown
	}
	b = append(b, told, share(s.Rejected), share(s.FreeCapacity), byte(min(max(s.LocalHealth, 0), mostHealth)))
	b = binary.BigEndian.AppendUint32(b, s.ConfigHash)
	bad := s.Ejected[:min(len(s.Ejected), MostBad)]
	b = append(b, byte(len(bad)))
	for _, m := range bad {
		b = binary.BigEndian.AppendUint32(b, m)
	}
	return b
}

// Parse reads a payload. Bytes that a later program adds are skipped; what no program says is an error.
func Parse(b []byte) (Report, error) {
	if len(b) == 0 {
		return Report{}, errors.New("signals: empty")
	}
	form := b[0]
	if form != formZone && form != formOne {
		return Report{}, fmt.Errorf("%w %d", ErrForm, form)
	}
	zone, n := binary.Uvarint(b[1:])
	if n <= 0 || zone > mostZone {
		return Report{}, errors.New("signals: no zone")
	}
	s := Report{Zone: int(zone)}
	if form == formZone {
		return s, nil
	}
	rest := b[1+n:]
	if len(rest) < 4 {
		return Report{}, fmt.Errorf("signals: %d bytes after the zone, 4 are needed", len(rest))
	}
	e := int(rest[0]) + nothing
	if e > mostStep && rest[0] != unknown || rest[1] > parts || rest[2] > parts || rest[3] > mostHealth {
		return Report{}, fmt.Errorf("signals: figures %v out of their bounds", rest[:4])
	}
	switch {
	case rest[0] == unknown:
		s.Demand = -1
	case e > nothing:
		s.Demand = math.Pow(step, float64(e))
	}
	s.Rejected, s.FreeCapacity, s.LocalHealth, s.Known = float64(rest[1])/parts, float64(rest[2])/parts, int(rest[3]), true
	if rest = rest[4:]; len(rest) < 5 {
		return Report{}, fmt.Errorf("signals: %d bytes after the figures, 5 are needed", len(rest))
	}
	s.ConfigHash, rest = binary.BigEndian.Uint32(rest), rest[4:]
	marks := int(rest[0])
	if marks > MostBad || len(rest) < 1+4*marks {
		return Report{}, fmt.Errorf("signals: %d hosts named in %d bytes, %d hosts at most", marks, len(rest)-1, MostBad)
	}
	for i := range marks {
		s.Ejected = append(s.Ejected, binary.BigEndian.Uint32(rest[1+4*i:]))
	}
	return s, nil
}

// Times between two words of one gateway. Each word of one goes through all, several times: the more there are, the seldomer
// each speaks, so that what a gateway sends stays bounded.
const (
	figuresEvery = 4 * time.Second
	figuresEach  = 200 * time.Millisecond // for each gateway of the fleet
	urgentEvery  = time.Second
	urgentEach   = 20 * time.Millisecond
	roughly      = parts / 4 // a share has moved
	healthMoves  = 2
)

// Reporter decides when a gateway tells anew.
type Reporter struct {
	last Report
	at   time.Duration
	told bool
}

// Next returns the payload to spread in a fleet of so many, and whether it is to be spread now: a figure has moved clearly
// since the last one and that was long ago, or other hosts are bad, or the file is another, and it was not just now.
func (t *Reporter) Next(now time.Duration, s Report, fleet int) ([]byte, bool) {
	gap := now - t.at
	moved := func(a, b, by int) bool { return a-b > by || b-a > by }
	l := &t.last
	urgent := s.Zone != l.Zone || s.Known != l.Known || s.ConfigHash != l.ConfigHash || !slices.Equal(s.Ejected, l.Ejected)
	figures := moved(exponent(s.Demand), exponent(l.Demand), 1) || (s.Demand > 0) != (l.Demand > 0) || (s.Demand < 0) != (l.Demand < 0) || moved(s.LocalHealth, l.LocalHealth, healthMoves-1) ||
		moved(int(share(s.Rejected)), int(share(l.Rejected)), roughly) || moved(int(share(s.FreeCapacity)), int(share(l.FreeCapacity)), roughly)
	n := time.Duration(fleet)
	due := !t.told || urgent && gap >= max(urgentEvery, n*urgentEach) || figures && gap >= max(figuresEvery, n*figuresEach)
	if !due {
		return nil, false
	}
	t.last, t.at, t.told = s, now, true
	return Append(nil, s), true
}

// Bounds of hearsay.
const (
	witnesses  = 2 // that have to name a host, or one that lies or is ill would change its fate
	sickHealth = 4 // from which on a gateway's word on others does not count
)

// SuspectedByPeers are the marks of hosts that several others found bad: gateways that are alive now and well themselves. words must
// not hold the own one.
func SuspectedByPeers(words []PeerReport) map[uint32]bool {
	count := make(map[uint32]int)
	for _, w := range words {
		if !w.Known || w.Silent > 0 || w.LocalHealth >= sickHealth {
			continue
		}
		for _, m := range slices.Compact(slices.Sorted(slices.Values(w.Ejected))) {
			count[m]++
		}
	}
	out := make(map[uint32]bool)
	for m, n := range count {
		if n >= witnesses {
			out[m] = true
		}
	}
	return out
}

// PeerReport is a member's last signal, and for how long the member has not been alive; 0 while it is.
type PeerReport struct {
	Report
	Silent time.Duration
}

// knows reports whether the word on demand counts.
func (w *PeerReport) knows() bool { return w.Known && w.Demand >= 0 && w.Silent < Fade }

// Demands are what each gateway counts for in a division: what it told, within bounds around the median of all that did; 0,
// unknown, for those that told nothing or have faded. So one that lies takes at most eight parts, and loses nobody all.
func Demands(words []PeerReport) []float64 {
	out := make([]float64, len(words))
	var known []float64
	for _, w := range words {
		if w.knows() {
			known = append(known, w.Demand)
		}
	}
	if len(known) == 0 {
		return out
	}
	slices.Sort(known)
	median := known[len(known)/2]
	if median <= 0 { // half have nothing: what the others carry is the measure
		if at := slices.IndexFunc(known, func(v float64) bool { return v > 0 }); at >= 0 {
			median = known[at]
		} else {
			return out
		}
	}
	for i, w := range words {
		if w.knows() {
			out[i] = min(max(w.Demand, median*leastPart), median*mostParts)
		}
	}
	return out
}
