"""Flow control of long request and response bodies: bounds on the bytes buffered. No I/O."""
