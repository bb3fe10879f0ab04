"""Keys that change in service. decide.py says what is in service, files.py reads it, keeper.py puts it to use, make.py
makes it."""
