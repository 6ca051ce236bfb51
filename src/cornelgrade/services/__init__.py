"""Tasks that own sockets and state and carry the decisions out."""
