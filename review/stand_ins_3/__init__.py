"""Stand-ins and a driver for the scripts of the third review."""
