package simulation

// idleLink is a client connection at rest.
type idleLink struct {
	end     *End
	gateway *gatewayNode
}
