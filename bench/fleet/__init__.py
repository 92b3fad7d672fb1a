"""What control costs in whole processes: fleets of real nodes on loopback, idle but for events."""
