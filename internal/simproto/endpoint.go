package simproto

import (
	"fmt"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

// endpointUpdates maps the code of an endpoint update to its kind.
var endpointUpdates = [...]balancer.EndpointUpdate{
	0: balancer.CachedSnapshot, 1: balancer.WatchFailed, 2: balancer.Delta, 3: balancer.Snapshot,
}

// endpointStates maps the code of an endpoint's state to the state.
var endpointStates = [...]balancer.EndpointState{
	0: balancer.EndpointRemoved, 1: balancer.EndpointReady, 2: balancer.EndpointDraining,
}

// decodeEndpointUpdate decodes a snapshot or delta of the endpoint list into the batch's buffer.
func (b *Batch) decodeEndpointUpdate(rec record) (balancer.EndpointUpdate, []balancer.Endpoint, error) {
	code := rec[1]
	if int(code) >= len(endpointUpdates) {
		return 0, nil, fielderror.CauseWithText(ErrUnknownCode, "unknown list kind %d at byte 1", code)
	}
	entries, err := b.tailSlice("hosts", rec.uint32(10), rec.uint32(14), endpointSize)
	if err != nil {
		return 0, nil, err
	}
	list := (*b.endpoints)[:0]
	for i := 0; i < len(entries); i += endpointSize {
		e, err := decodeEndpoint(entries[i : i+endpointSize])
		if err != nil {
			return 0, nil, &fielderror.Error{Field: fmt.Sprintf("list entry %d", i/endpointSize), Err: err}
		}
		list = append(list, e)
	}
	*b.endpoints = list
	return endpointUpdates[code], list, nil
}

// decodeEndpoint decodes one entry of an endpoint list.
func decodeEndpoint(rec record) (balancer.Endpoint, error) {
	started, err := rec.millis(14, "born_ms")
	if err != nil {
		return balancer.Endpoint{}, err
	}
	state := rec[13]
	if int(state) >= len(endpointStates) {
		return balancer.Endpoint{}, fielderror.CauseWithText(ErrUnknownCode,
			"unknown availability %d at byte 13", state)
	}
	return balancer.Endpoint{
		Zone:      int(rec[4]),
		Cell:      int(rec.uint16(5)),
		ID:        rec.endpointID(7),
		State:     endpointStates[state],
		StartedAt: started,
	}, nil
}
