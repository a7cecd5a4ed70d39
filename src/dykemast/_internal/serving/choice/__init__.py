"""Choice of the backend server for a request.

Input: an admitted request, the usable servers, their loads, cached prompts and
health scores. Output: a server. The outcome of the request updates loads and
health scores.
"""
