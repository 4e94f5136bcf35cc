package node

// HasRoute reports whether the configuration in force has a route for the path.
func (n *Node) HasRoute(host, path string) bool {
	t := n.components.Load().routingCache.Table()
	return t != nil && t.Route(host, path) != nil
}

// WaitingRequests returns the number of requests that wait for a slot.
func (n *Node) WaitingRequests() int { return len(n.components.Load().dispatcher.Waiting()) }

// OpenRequests returns the number of requests in progress.
func (n *Node) OpenRequests() int { return n.components.Load().handler.OpenRequests() }
