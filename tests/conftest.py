"""One verdict for one checkout: properties draw their examples from a fixed seed.

For a search with other ones: `python -m pytest --hypothesis-profile=search`.
"""

from hypothesis import settings

settings.register_profile("same", derandomize=True, database=None)
settings.register_profile("search", derandomize=False, max_examples=2000)
settings.load_profile("same")
