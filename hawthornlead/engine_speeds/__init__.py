"""Measured speeds of engines: samples from relayed streams, and estimates from them.

Plain classes without a network or a clock: times are passed in. All state is lost with
its VM and learned again within seconds.

May import: the common modules.
"""
