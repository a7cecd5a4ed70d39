// Calls between routers. The key is the secret shared by all routers.

struct Card {
    1: string instance,
    2: string incarnation,
    3: string hall,
    4: string host,
    5: i32 caller_port,
    6: i32 peer_port,
    7: i64 revision,
    8: i32 inflight,
    9: bool leaving,
    10: i64 beat,
}

struct Gossip {
    1: list<Card> cards,
    2: list<string> leaving,
}

exception Refused {
    1: string reason,
}

service Peer {
    Gossip exchange(1: string key, 2: Gossip news) throws (1: Refused no),
    // Intents and acknowledgements are JSON arrays of the ledger's types.
    binary commit(1: string key, 2: string ledger, 3: binary intents)
        throws (1: Refused no),
    i64 lend(1: string key, 2: string budget, 3: i64 tokens,
        4: string transfer) throws (1: Refused no),
    bool hold_bills(1: string key, 2: binary entries) throws (1: Refused no),
    binary newer_revision(1: string key, 2: i64 above)
        throws (1: Refused no),
    void recall(1: string key, 2: string budget) throws (1: Refused no),
}
