"""Translation between the product and the users' platform, and no more.

Names of the platform's settings, objects and headers stand only here. Each
module decodes them once into types of ``models`` whose fields say what they
hold.
"""
