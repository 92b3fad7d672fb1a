"""Stand-ins for the platform in tests: backend servers, object stores and whole meshes."""
