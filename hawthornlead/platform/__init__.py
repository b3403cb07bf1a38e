"""The platform's wire format: names of headers, fields and paths.

Each module decodes one thing into the records of ``hawthornlead.gateway.records`` or
encodes it. The modules keep no state and make no decisions.

May import: eras, gateway.records.
"""
