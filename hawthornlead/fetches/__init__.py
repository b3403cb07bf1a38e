"""How long engines fetch adapters and how far their reports lag, learned from reports.

Observed fetches and refused requests teach the estimates, and answered orders how long
an answer is awaited. All times are passed in.

May import: the common modules.
"""
