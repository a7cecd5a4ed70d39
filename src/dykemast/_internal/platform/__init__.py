"""Translation between the platform's formats and this project's types.

This is the only package that uses the platform's names of settings, objects
and header fields. Each module decodes them into types of ``models``.
"""
