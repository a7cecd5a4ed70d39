"""One request to one backend server.

In: a ticket, its body and a server. Out: an answer that is the one to this
request, or an error that tells whether the request may have run.
"""
