"""Services that forward requests and jobs by host and path to registered upstreams."""
