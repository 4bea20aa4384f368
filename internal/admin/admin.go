// Package admin implements the operators' HTTP interface at the gateway's second address: the decoding of requests, one
// on each connection, and the encoding of responses.
package admin

import (
	"encoding/json"

	"thymebend/internal/http1"
)

// Request is the type of an operator's request.
type Request uint8

// The types of requests.
const (
	NoRequest Request = iota // no complete request has been received
	ReadinessRequest
	StatsRequest
	ClusterRequest
	BadRequest // a faulty request, for which Feed returns the encoded response
)

// textResponse encodes a response with one line of text.
func textResponse(status int, text string) []byte {
	return http1.AppendResponse(nil, status, nil, []byte(text+"\n"), false)
}

// ReadinessResponse encodes whether this process accepts clients, and the reason if it does not.
func ReadinessResponse(ready bool, reason string) []byte {
	if ready {
		return textResponse(200, "ready")
	}
	return textResponse(503, reason)
}

// NoClusterResponse encodes the response of a gateway that has no gossip file and therefore belongs to no cluster.
func NoClusterResponse() []byte { return textResponse(404, "no fleet: LB_FLEET names no file") }

// jsonResponse encodes a response whose body is document as JSON.
func jsonResponse(document any) []byte {
	body, err := json.Marshal(document)
	if err != nil { // cannot happen: documents consist of strings and finite numbers
		return textResponse(500, err.Error())
	}
	return http1.AppendResponse(nil, 200, []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: "Cache-Control", Value: "no-store"}}, append(body, '\n'), false)
}
