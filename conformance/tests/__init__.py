"""Tests of the judge, on small hand-written histories."""
