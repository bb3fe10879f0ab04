"""One holder for a task of the whole fleet, under a number that only rises."""
