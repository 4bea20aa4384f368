package gossipconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"thymebend/internal/fielderror"
	"thymebend/internal/membership"
	"thymebend/internal/tomlfile"
)

// Verifies that a faulty file is rejected with an error that names the line, the field or the fault.
func TestErrorsReportLineAndColumn(t *testing.T) {
	const good = "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\n[[peer]]\nname = \"a\"\naddr = \"127.0.0.1:7947\"\n"
	if f, err := Parse("x.toml", []byte(good), "me"); err != nil || f.Name != "me" || len(f.SeedPeers) != 1 ||
		f.SeedPeers[0].Name != "a" {
		t.Errorf("%+v, error %v; want gateway me with the seed peer a", f, err)
	}
	for text, want := range map[string]string{
		"listen = \"127.0.0.1:7946\"\n":                              "fleet",
		strings.Replace(good, "7946", "none", 1):                     "x.toml:2:",
		strings.Replace(good, "\"a\"", "\"a b\"", 1):                 "x.toml:4:",
		good + "[[peer]]\nname = \"a\"\naddr = \"127.0.0.1:7948\"\n": "there already",
		good + "[[peer]]\nname = \"b\"\naddr = \"127.0.0.1:7947\"\n": "127.0.0.1:7947 is already the address of a",
		good + "adress = 1\n":                                        "peer.adress: unknown field",
	} {
		t.Run(want, func(t *testing.T) {
			if _, err := Parse("x.toml", []byte(text), "me"); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want a text with %q", err, want)
			}
		})
	}
}

// Verifies the defaults of the table [shares], the values that it sets, and the rejection of invalid values.
func TestSharesTableIsParsed(t *testing.T) {
	const head = "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\n"
	read := func(table string) (*Config, error) { return Parse("x.toml", []byte(head+table), "me") }
	if f, err := read(""); err != nil || f.Assignment != nil {
		t.Errorf("without the table: %+v, error %v", f, err)
	}
	if f, err := read("[shares]\n"); err != nil ||
		*f.Assignment != (Assignment{Users: 12, MaxUsers: 36, MinEndpoints: 2, RemoteZoneOdds: 0.5,
			ClockSkew: 20 * time.Millisecond}) {
		t.Errorf("empty table: %+v, error %v; want the defaults", f, err)
	}
	if f, err := read("[shares]\nusers = 3\nleast = 1\naway = 1.0\nwarm_rate = 25.5\nskew = \"5ms\"\n"); err != nil ||
		*f.Assignment != (Assignment{Users: 3, MaxUsers: 9, MinEndpoints: 1, RemoteZoneOdds: 1, WarmRate: 25.5,
			ClockSkew: 5 * time.Millisecond}) {
		t.Errorf("table with values: %+v, error %v", f, err)
	}
	for _, field := range []string{"users = 0", "most_users = 11", "users = 101", "least = 0", "away = 0.0",
		"away = 1.5", "away = nan", "warm_rate = -1.0", "warm_rate = inf", "skew = \"-1ms\"",
		"skew = \"101ms\"", "skew = 5", "user = 3"} {
		if _, err := read("[shares]\n" + field + "\n"); err == nil || !strings.Contains(err.Error(), "x.toml:4:") ||
			!strings.Contains(err.Error(), "shares."+strings.Fields(field)[0]) {
			t.Errorf("%s: error %v, want one that names line 4 and the field", field, err)
		}
	}
}

// Verifies that lists of 1,024 seed peers and of the maximum number are accepted, and that one more is rejected with
// an error that states the size.
func TestPeerListSizeLimit(t *testing.T) {
	fileWith := func(peers int) []byte {
		text := "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\n"
		for n := range peers {
			text += fmt.Sprintf("[[peer]]\nname = \"gw-%d\"\naddr = \"10.2.%d.%d:7946\"\n", n, n/250, n%250+1)
		}
		return []byte(text)
	}
	for _, peers := range []int{1024, membership.MaxMembers} {
		if f, err := Parse("x.toml", fileWith(peers), "me"); err != nil || len(f.SeedPeers) != peers {
			t.Errorf("%d seed peers: error %v", peers, err)
		}
	}
	if _, err := Parse("x.toml", fileWith(membership.MaxMembers+1), "me"); err == nil ||
		!strings.Contains(err.Error(), fmt.Sprintf("%d peers exceed the maximum of %d", membership.MaxMembers+1,
			membership.MaxMembers)) {
		t.Errorf("one seed peer too many: error %v", err)
	}
}

// Verifies that callers can match the cause of a fault with errors.Is, and read its field and line.
func TestErrorsMatchCauseAndPosition(t *testing.T) {
	const good = "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\n"
	const peer = "[[peer]]\nname = \"a\"\naddr = \"127.0.0.1:7947\"\n"
	for name, test := range map[string]struct {
		text, field string
		line        int
		want        error
	}{
		"name":      {strings.Replace(good, "\"f\"", "\"f f\"", 1), "fleet", 1, ErrName},
		"address":   {strings.Replace(good, "7946", "none", 1), "listen", 2, ErrAddress},
		"duplicate": {good + peer + peer, "peer.1.name", 7, ErrDuplicate},
		"range":     {good + "[shares]\nusers = 0\n", "shares.users", 4, ErrRange},
		"unknown":   {good + "adress = 1\n", "adress", 3, tomlfile.ErrUnknownField},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(test.text), "me")
			var fault *fielderror.Error
			if !errors.Is(err, test.want) || !errors.As(err, &fault) || fault.Line != test.line ||
				fault.Field != test.field {
				t.Errorf("error %v, fault %+v; want %v at field %s, line %d", err, fault, test.want, test.field,
					test.line)
			}
		})
	}
}
