"""One request to one backend server.

In: an admitted request, its body and a server. Out: the response to this
request, or an error that says whether the request may have run.
"""
