package simulation

// link is a client connection at rest.
type link struct {
	end *End
	gw  *gatewayNode
}
