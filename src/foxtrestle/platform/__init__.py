"""Adapter that translates between the users' platform and the project's own types.

The package makes no decisions. The platform's names and formats are used nowhere else. Unknown
fields are ignored; a malformed message raises an error that names the faulty field.
"""
