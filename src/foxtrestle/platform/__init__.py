"""Translation between the users' platform and the project's own types; decides nothing.

Names and formats of the platform stay in this package. Fields that are unknown are ignored, a
malformed message raises an error that names its place.
"""
