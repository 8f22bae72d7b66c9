"""Model checks the core protocols and checks histories of runs."""
