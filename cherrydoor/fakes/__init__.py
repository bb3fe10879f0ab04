"""What the outside looks like: hosts, the program store, the list. They know only the frames."""
