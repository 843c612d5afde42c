"""HTTP/1.1 over trio by h11, on both sides."""
