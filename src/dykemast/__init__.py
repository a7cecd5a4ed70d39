"""Router fleet for prepaid token budgets."""

from typing import Final

#: Same as in the package metadata.
VERSION: Final = '0.1.0'
