package loadreport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// The forms of a payload, its first byte.
const (
	formZone = 1 // the zone alone
	formFull = 2
)

// How figures are encoded.
const (
	demandStep    = 1.25 // demand is rounded to powers of it
	minExponent   = -60  // 1.5e-6 requests a second
	maxExponent   = 100  // 4.9e9
	noDemand      = minExponent - 1
	unknownDemand = 255 // the byte of a demand that is not known
	shareSteps    = 64  // that a share of 1 is cut into
	maxHealth     = 8
	maxZone       = 1 << 16

	figuresBytes = 4 // demand, rejected, free capacity, local health
	hashBytes    = 4
)

// ErrForm is that of a payload of a form that this program does not know.
var ErrForm = errors.New("signals: unknown form")

// FormatError says which part of a payload cannot be read.
type FormatError struct {
	Part   string // "form", "zone", "figures", "config hash" or "ejected"
	reason string
}

// Error implements error.
func (e *FormatError) Error() string { return "signals: " + e.reason }

func formatErrorf(part, format string, args ...any) error {
	return &FormatError{Part: part, reason: fmt.Sprintf(format, args...)}
}

// demandExponent is a demand in steps.
func demandExponent(demand float64) int {
	if !(demand > 0) {
		return noDemand
	}
	return int(math.Round(math.Log(min(max(demand, 1e-300), 1e300)) / math.Log(demandStep)))
}

// shareByte is a share in steps.
func shareByte(share float64) byte {
	if !(share > 0) {
		return 0
	}
	return byte(math.Round(min(share, 1) * shareSteps))
}

// Append appends a report to a payload. What is out of its bounds is reported at the bound.
func Append(b []byte, r Report) []byte {
	zone := uint64(min(max(r.Zone, 0), maxZone))
	if !r.Known {
		return binary.AppendUvarint(append(b, formZone), zone)
	}
	b = binary.AppendUvarint(append(b, formFull), zone)
	exponent := demandExponent(r.Demand)
	if r.Demand > 0 {
		exponent = min(max(exponent, minExponent), maxExponent)
	}
	demand := byte(exponent - noDemand)
	if r.Demand < 0 {
		demand = unknownDemand
	}
	health := byte(min(max(r.LocalHealth, 0), maxHealth))
	b = append(b, demand, shareByte(r.Rejected), shareByte(r.FreeCapacity), health)
	b = binary.BigEndian.AppendUint32(b, r.ConfigHash)
	ejected := r.Ejected[:min(len(r.Ejected), MaxEjected)]
	b = append(b, byte(len(ejected)))
	for _, hash := range ejected {
		b = binary.BigEndian.AppendUint32(b, hash)
	}
	return b
}

// Parse reads a payload. Bytes that a later program appends are skipped; what no program says is an error that
// matches [ErrForm] or is of type [*FormatError].
func Parse(b []byte) (Report, error) {
	if len(b) == 0 {
		return Report{}, formatErrorf("form", "empty")
	}
	form := b[0]
	if form != formZone && form != formFull {
		return Report{}, fmt.Errorf("%w %d", ErrForm, form)
	}
	zone, n := binary.Uvarint(b[1:])
	if n <= 0 || zone > maxZone {
		return Report{}, formatErrorf("zone", "no zone")
	}
	r := Report{Zone: int(zone)}
	if form == formZone {
		return r, nil
	}
	remaining := b[1+n:]
	if err := r.parseFigures(remaining); err != nil {
		return Report{}, err
	}
	if err := r.parseHashes(remaining[figuresBytes:]); err != nil {
		return Report{}, err
	}
	return r, nil
}

func (r *Report) parseFigures(b []byte) error {
	if len(b) < figuresBytes {
		return formatErrorf("figures", "%d bytes after the zone, %d are needed", len(b), figuresBytes)
	}
	demand, rejected, free, health := b[0], b[1], b[2], b[3]
	exponent := int(demand) + noDemand
	if exponent > maxExponent && demand != unknownDemand ||
		rejected > shareSteps || free > shareSteps || health > maxHealth {
		return formatErrorf("figures", "figures %v out of their bounds", b[:figuresBytes])
	}
	switch {
	case demand == unknownDemand:
		r.Demand = -1
	case exponent > noDemand:
		r.Demand = math.Pow(demandStep, float64(exponent))
	}
	r.Rejected, r.FreeCapacity = float64(rejected)/shareSteps, float64(free)/shareSteps
	r.LocalHealth, r.Known = int(health), true
	return nil
}

func (r *Report) parseHashes(b []byte) error {
	if len(b) < hashBytes+1 {
		return formatErrorf("config hash", "%d bytes after the figures, %d are needed", len(b), hashBytes+1)
	}
	r.ConfigHash = binary.BigEndian.Uint32(b)
	count, hashes := int(b[hashBytes]), b[hashBytes+1:]
	if count > MaxEjected || len(hashes) < hashBytes*count {
		return formatErrorf("ejected", "%d hosts named in %d bytes, %d hosts at most", count, len(hashes), MaxEjected)
	}
	for i := range count {
		r.Ejected = append(r.Ejected, binary.BigEndian.Uint32(hashes[hashBytes*i:]))
	}
	return nil
}
