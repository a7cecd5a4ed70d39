"""Choice of the backend server for a request.

In: an admitted request, the usable servers, their loads, cached prompts and
health scores. Out: a server. The outcome of the request updates loads and
health scores.
"""
