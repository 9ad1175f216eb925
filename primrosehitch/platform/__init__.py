"""Adapter to the users' platform: its header names, formats and HTTP calls.

No routing or scaling decision is made here.
"""
