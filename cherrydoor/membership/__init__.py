"""Who else is a gateway of this fleet, and links to a few of them; off where no lease names peers."""
