package main

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"thymebend/internal/http1"
)

// adminTimeout bounds the time to connect to a gateway, and separately the time until its whole response has
// arrived.
const adminTimeout = 2 * time.Second

// maxAdminResponse is the maximum size of a response in bytes. It is separate from the limit for responses of
// endpoints because the view of 2,000 gateways exceeds that limit.
const maxAdminResponse = 4 << 20

// getAdmin sends one GET request to a gateway's admin endpoint and returns the response.
func getAdmin(address netip.AddrPort, path string) (*http1.Message, error) {
	c, err := net.DialTimeout("tcp", address.String(), adminTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return nil, err
	}
	request := http1.AppendRequest(nil, "GET", path, []http1.Field{{Name: "Host", Value: address.String()}}, nil)
	if _, err := c.Write(request); err != nil {
		return nil, err
	}
	r := http1.Reader{Response: true, Stream: true}
	var body []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		r.Feed(buf[:n])
		head, piece, done, fault := r.ReadStream(nil)
		switch body = append(body, piece...); {
		case fault != nil:
			return nil, fault
		case head != nil && done:
			return &http1.Message{Head: head, Body: body}, nil
		case len(body) > maxAdminResponse:
			return nil, fmt.Errorf("the response is larger than %d bytes", maxAdminResponse)
		case err != nil:
			return nil, fmt.Errorf("the response is incomplete: %w", err)
		}
	}
}
