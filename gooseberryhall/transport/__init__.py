"""HTTP/1.1 client for backend servers, based on httptools."""
