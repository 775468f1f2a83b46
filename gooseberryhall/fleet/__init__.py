"""What a node knows of configuration, backend servers and groups; group formation."""
