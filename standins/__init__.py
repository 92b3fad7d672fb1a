"""Small stand-ins for what the platform gives: backend servers and the object store."""
