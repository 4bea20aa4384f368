package scale

import "thymebend/internal/lab/configsim"

// gatewaysPerRack is the number of gateways in a rack.
const gatewaysPerRack = 16

// topology maps gateways and control machines to zones and regions: gateways to the zones round-robin, contiguous
// ranges of zones to the regions. The simulator of rollouts, configsim, places them in the same way.
type topology struct{ gateways, zones, regions int }

func (t topology) zone(gateway int) int { return gateway % t.zones }

func (t topology) region(gateway int) int { return t.zone(gateway) * t.regions / t.zones }

// rack returns the gateways of a rack of a zone; number counts the zone's racks from 0.
func (t topology) rack(zone, number int) (list []int) {
	all := t.ofZone(zone)
	from := min(number*gatewaysPerRack, len(all))
	return all[from:min(from+gatewaysPerRack, len(all))]
}

// ofZone returns the gateways of a zone.
func (t topology) ofZone(zone int) (list []int) {
	for gateway := zone; gateway < t.gateways; gateway += t.zones {
		list = append(list, gateway)
	}
	return list
}

// controlZone returns the zone of a control machine: the first zone of its region for even indices, the second
// zone, if the region has one, for odd indices.
func (t topology) controlZone(control int) int {
	first := 0
	for first < t.zones && t.region(first) != t.controlRegion(control) {
		first++
	}
	if control%2 == 1 && first+1 < t.zones && t.region(first+1) == t.controlRegion(control) {
		return first + 1
	}
	return first
}

func (t topology) controlRegion(control int) int { return control * t.regions / controlMachines }

// regionOf returns the region of an end of a connection that carries configuration.
func (t topology) regionOf(e configsim.Endpoint) int {
	if e.Control {
		return t.controlRegion(e.Index)
	}
	return t.region(e.Index)
}
