"""The users' platform: its names, formats and calls; it decides nothing."""
