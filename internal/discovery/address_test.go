package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"thymebend/internal/balancer"
)

// addressLine returns an object with entries of the form name@address@start.
func addressLine(seq int, whole bool, entries ...string) []byte {
	var hosts []string
	for _, e := range entries {
		parts := strings.Split(e, "@")
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":"10.0.0.%s:80","site":"a","health":"up","share":1,"born_ms":%s}`,
			parts[0], parts[1], parts[2]))
	}
	return fmt.Appendf(nil, `{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// Guards against sending work for an endpoint to another one that has come up at its address: one address is one process.
func TestNewEndpointAtAnAddressReplacesTheOneThatWasThere(t *testing.T) {
	for _, c := range []struct {
		name         string
		lines        [][]byte
		want, absent []string
		removed      bool // the last update reports the absent endpoints as removed
	}{
		{"a change names a later start", [][]byte{
			addressLine(1, true, "old@1@1000", "other@2@0"), addressLine(2, false, "new@1@2000"),
		}, []string{"new", "other"}, []string{"old"}, true},
		{"a change names no starts", [][]byte{
			addressLine(1, true, "old@1@0"), addressLine(2, false, "new@1@0"),
		}, []string{"new"}, []string{"old"}, true},
		{"a change names an earlier start", [][]byte{
			addressLine(1, true, "new@1@2000"), addressLine(2, false, "old@1@1000"),
		}, []string{"new"}, []string{"old"}, false},
		{"a whole list names both", [][]byte{addressLine(1, true, "new@1@2000", "old@1@1000")}, []string{"new"},
			[]string{"old"}, false},
		{"the old one has moved", [][]byte{
			addressLine(1, true, "old@1@1000"), addressLine(2, false, "old@3@1000", "new@1@2000"),
		}, []string{"old", "new"}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			eps := NewEndpoints([]string{"a"})
			var update Update
			for _, line := range c.lines {
				var err error
				if update, err = eps.Apply(line); err != nil {
					t.Fatal(err)
				}
			}
			for _, name := range c.want {
				if eps.Find(EndpointIDFromName(name)) == nil {
					t.Errorf("%s is not in the list", name)
				}
			}
			for _, name := range c.absent {
				id := EndpointIDFromName(name)
				if eps.Find(id) != nil {
					t.Errorf("%s is still in the list", name)
				}
				if c.removed != (slices.Contains(update.Changed, id) && slices.ContainsFunc(update.Entries,
					func(ep balancer.Endpoint) bool { return ep.ID == id && ep.State == balancer.EndpointRemoved })) {
					t.Errorf("%s: update %+v, want it removed: %v", name, update, c.removed)
				}
			}
		})
	}
}
