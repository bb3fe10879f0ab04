"""The gateway on the platform: the same desk and decision module between doors, links and bulletin of its own."""
