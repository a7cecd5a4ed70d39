// Calls between the routers of a deployment. Bodies are MessagePack of the
// types in models/gossip.py.

exception Refused {
    1: string reason,
}

service Fleet {
    binary exchange(1: binary news) throws (1: Refused no),
    // Transfers spare tokens of a workspace's budget permanently to the borrower;
    // for routers of the previous build, which lose them with a lost answer.
    i64 lend(1: string workspace, 2: i64 tokens, 3: string borrower,
        4: i64 spare)
        throws (1: Refused no),
    // Lends tokens of a workspace's budget. The bodies are a request and an answer
    // of models/fleet.py; a request may be repeated until it is answered.
    binary borrow(1: binary loan) throws (1: Refused no),
    // Returns unused tokens of a workspace's budget permanently; the result is
    // the number of tokens accepted.
    i64 take_back(1: string workspace, 2: i64 tokens, 3: string giver)
        throws (1: Refused no),
    // The list of backend servers if it is newer; else empty.
    binary newer_servers(1: i64 above) throws (1: Refused no),
    // The configuration if it is newer; else empty.
    binary newer_configuration(1: i64 above) throws (1: Refused no),
    // Adds to the versions at which streams began, for callers that take them
    // up; the body holds records of models/streams.py, the result is their
    // number.
    i64 add_streams(1: binary records) throws (1: Refused no),
    // Keeps replicas of the versions at which streams of another router began;
    // the body holds a batch of models/streams.py, the result is the
    // number of streams.
    i64 keep_streams(1: binary replicas) throws (1: Refused no),
    // The version at which a stream began, as replicated streams of
    // models/streams.py; none if it is not known.
    binary find_stream(1: string key) throws (1: Refused no),
    // Which of some servers, by their packed names, may have been started again:
    // sends to them have just broken, they crashed, or they are not listed.
    binary list_broken(1: binary servers) throws (1: Refused no),
}
