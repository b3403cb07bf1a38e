"""Tests of hawthornlead, and the stand-ins for the systems around it."""
