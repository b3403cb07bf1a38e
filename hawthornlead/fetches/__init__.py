"""How long engines fetch adapters and how far their reports lag, learned from reports.

Observed fetches and refused requests teach the estimates. All times are passed in.

May import: the common modules.
"""
