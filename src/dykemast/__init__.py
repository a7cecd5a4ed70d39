"""Router fleet for prepaid token budgets."""

from typing import Final

#: Version of the program, as in the package's metadata.
VERSION: Final = '0.1.0'
