"""Models of the core protocols and checks of recorded histories."""
