"""The controller: leader election, job progress, links to workers, and orders."""
