"""Small programs that take the place of the platform and the targets in tests."""
