"""One request to one backend server.

Input: an admitted request, its body and a server. Output: the response to this
request, or an error that says whether the request may have run.
"""
