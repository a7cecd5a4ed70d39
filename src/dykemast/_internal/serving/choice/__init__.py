"""Which backend server gets a request.

In: a ticket, usable servers, their loads, prompts and trust. Out: a server;
how a send ended goes back into loads and trust.
"""
