package loadreport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// The form of a payload, stored in its first byte.
const (
	formZone = 1 // the zone only
	formFull = 2 // all fields of a report
)

// Encoding of the fields of a report.
const (
	demandStep    = 1.25            // demand is rounded to powers of this base
	minExponent   = -60             // 1.5e-6 requests a second
	maxExponent   = 100             // 4.9e9 requests a second
	noDemand      = minExponent - 1 // the exponent of a demand of 0; its byte is 0
	unknownDemand = 255             // the byte of a demand that is not known
	shareSteps    = 64              // number of steps in a share of 1
	maxHealth     = 8               // the worst local health
	maxZone       = 1 << 16

	figuresBytes = 4 // demand, rejected, free capacity, local health
	hashBytes    = 4
)

// ErrForm is returned by [Parse] for a payload whose form is unknown to this version of the program.
var ErrForm = errors.New("load report: unknown form")

// FormatError is returned by [Parse] for a payload that is malformed.
type FormatError struct {
	Part   string // the malformed part: "form", "zone", "figures", "config hash" or "ejected"
	reason string
}

// Error implements error.
func (e *FormatError) Error() string { return "load report: " + e.reason }

func formatErrorf(part, format string, args ...any) error {
	return &FormatError{Part: part, reason: fmt.Sprintf(format, args...)}
}

// demandExponent returns the exponent of the power of demandStep to which a demand is rounded, or noDemand if the
// demand is not above 0.
func demandExponent(demand float64) int {
	if !(demand > 0) {
		return noDemand
	}
	return int(math.Round(math.Log(min(max(demand, 1e-300), 1e300)) / math.Log(demandStep)))
}

// shareByte returns a share, limited to 0 to 1, rounded to steps.
func shareByte(share float64) byte {
	if !(share > 0) {
		return 0
	}
	return byte(math.Round(min(share, 1) * shareSteps))
}

// Append appends the encoded report to b and returns the result. It replaces values out of bounds by the nearest
// bound, and omits ejected endpoints beyond MaxEjected.
func Append(b []byte, r Report) []byte {
	zone := uint64(min(max(r.Zone, 0), maxZone))
	if !r.HasFigures {
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

// Parse decodes a payload. It ignores additional bytes at the end, which later versions of the program may append.
// For a malformed payload it returns an error that matches [ErrForm] or is of type [*FormatError].
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
		return Report{}, formatErrorf("zone", "zone is missing, incomplete or above %d", maxZone)
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
		return formatErrorf("figures", "%d bytes after the zone, want at least %d", len(b), figuresBytes)
	}
	demand, rejected, free, health := b[0], b[1], b[2], b[3]
	exponent := int(demand) + noDemand
	if exponent > maxExponent && demand != unknownDemand ||
		rejected > shareSteps || free > shareSteps || health > maxHealth {
		return formatErrorf("figures", "figures %v are out of bounds", b[:figuresBytes])
	}
	switch {
	case demand == unknownDemand:
		r.Demand = -1
	case exponent > noDemand:
		r.Demand = math.Pow(demandStep, float64(exponent))
	}
	r.Rejected, r.FreeCapacity = float64(rejected)/shareSteps, float64(free)/shareSteps
	r.LocalHealth, r.HasFigures = int(health), true
	return nil
}

func (r *Report) parseHashes(b []byte) error {
	if len(b) < hashBytes+1 {
		return formatErrorf("config hash", "%d bytes after the figures, want at least %d", len(b), hashBytes+1)
	}
	r.ConfigHash = binary.BigEndian.Uint32(b)
	count, hashes := int(b[hashBytes]), b[hashBytes+1:]
	if count > MaxEjected || len(hashes) < hashBytes*count {
		return formatErrorf("ejected", "%d ejected endpoints in %d bytes, at most %d endpoints are allowed",
			count, len(hashes), MaxEjected)
	}
	for i := range count {
		r.Ejected = append(r.Ejected, binary.BigEndian.Uint32(hashes[hashBytes*i:]))
	}
	return nil
}
