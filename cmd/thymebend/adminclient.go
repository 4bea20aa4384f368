package main

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"thymebend/internal/http1"
)

// adminTimeout is how long a gateway may take to connect, and to answer.
const adminTimeout = 2 * time.Second

// maxAdminResponse bounds a response in bytes. The view of 2,000 gateways is larger than what a response of
// an endpoint may be.
const maxAdminResponse = 4 << 20

// getAdmin sends one GET to a gateway's admin endpoint and returns the response.
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
		head, piece, done, fault := r.ReadStream()
		switch body = append(body, piece...); {
		case fault != nil:
			return nil, fault
		case head != nil && done:
			return &http1.Message{Head: head, Body: body}, nil
		case len(body) > maxAdminResponse:
			return nil, fmt.Errorf("an answer of over %d bytes", maxAdminResponse)
		case err != nil:
			return nil, fmt.Errorf("no whole answer: %w", err)
		}
	}
}
