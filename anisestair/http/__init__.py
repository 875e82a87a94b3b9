"""HTTP/1.1 on both sides: its bytes, the application's connections, connections to upstreams."""
