// Calls between the routers of a deployment. Bodies are MessagePack of the
// types in models/news.py.

exception Refused {
    1: string reason,
}

service Fleet {
    binary exchange(1: binary news) throws (1: Refused no),
    // Spare tokens of a workspace's budget, for good, to a router.
    i64 lend(1: string workspace, 2: i64 tokens, 3: string borrower,
        4: i64 spare)
        throws (1: Refused no),
    // Tokens of a workspace's budget that a router does not need any more, for
    // good; how many of them are taken.
    i64 take_back(1: string workspace, 2: i64 tokens, 3: string giver)
        throws (1: Refused no),
    // The configuration if it is newer; else empty.
    // The list of backend servers if it is newer; else empty.
    binary newer_servers(1: i64 above) throws (1: Refused no),
    binary newer_configuration(1: i64 above) throws (1: Refused no),
}
