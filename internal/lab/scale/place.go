package scale

import "thymebend/internal/lab/configsim"

// gatewaysOfRack is how many gateways stand in a rack.
const gatewaysOfRack = 16

// places tells where gateways and control machines stand: gateways lie over the zones in turn, zones
// over the regions in runs. The simulator of rollouts places them alike.
type places struct{ gateways, zones, regions int }

func (p places) zone(gateway int) int { return gateway % p.zones }

func (p places) region(gateway int) int { return p.zone(gateway) * p.regions / p.zones }

// rack lists the gateways of a rack of a zone.
func (p places) rack(zone, number int) (list []int) {
	all := p.ofZone(zone)
	from := min(number*gatewaysOfRack, len(all))
	return all[from:min(from+gatewaysOfRack, len(all))]
}

func (p places) ofZone(zone int) (list []int) {
	for gateway := zone; gateway < p.gateways; gateway += p.zones {
		list = append(list, gateway)
	}
	return list
}

// controlZone is the zone of a control machine: the first ones of its region in turn.
func (p places) controlZone(control int) int {
	first := 0
	for first < p.zones && p.region(first) != p.controlRegion(control) {
		first++
	}
	if control%2 == 1 && first+1 < p.zones && p.region(first+1) == p.controlRegion(control) {
		return first + 1
	}
	return first
}

func (p places) controlRegion(control int) int { return control * p.regions / controlMachines }

// regionOf is the region of an end of a link that carries configuration.
func (p places) regionOf(e configsim.Endpoint) int {
	if e.Control {
		return p.controlRegion(e.Index)
	}
	return p.region(e.Index)
}
