"""The controller of a region: ownership, recorded progress, links to workers, orders."""
