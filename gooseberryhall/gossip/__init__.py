"""Datagrams by which nodes tell each other load, suspicions and open groups."""
