"""Stand-ins that speak the users' platform: store, cloud and backend servers."""
