"""Stores of objects with conditional updates and watches, over HTTP and in memory.

Every write is a compare-and-swap, and a lost reply to it is resolved. The packages
that import this one define what the objects mean.

May import: the common modules, answers.
"""
