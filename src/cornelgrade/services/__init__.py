"""Long-running tasks that own sockets and state, and apply the decisions of the policies."""
