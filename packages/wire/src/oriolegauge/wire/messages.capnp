@0xd3a1c6f07b52e948;
# Messages between daemons. Each WebSocket message carries one packed Envelope.
# Fields and union members are only ever added at the end.

struct Envelope {
  messageId @0 :UInt64;
  replyTo @1 :UInt64;        # id of the message this one answers or cancels
  sender @2 :Text;
  incarnation @3 :Text;
  position @4 :UInt32;       # place in a streamed answer, from 0
  oneWay @5 :Bool;           # no answer is wanted
  union {
    heartbeat @6 :Heartbeat;
    reserve @7 :Reserve;
    reserveAnswer @8 :ReserveAnswer;
    settle @9 :Settle;
    release @10 :Release;
    recall @11 :Recall;
    journalAppend @12 :JournalAppend;
    journalQuery @13 :JournalQuery;
    journalAnswer @14 :JournalAnswer;
    configFetch @15 :ConfigFetch;
    configObjects @16 :ConfigObjects;
    forward @17 :Forward;
    head @18 :Head;
    chunk @19 :Chunk;
    end @20 :End;
    cancel @21 :Cancel;
    crashReport @22 :CrashReport;
    storeCall @23 :StoreCall;
    storeAnswer @24 :StoreAnswer;
    ack @25 :Ack;
    failure @26 :Failure;
  }
}

struct Heartbeat {
  member @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  state @3 :Text;
  configVersions @4 :List(ConfigVersion);
  inFlight @5 :List(ServerTokens);
  queueLengths @6 :List(UInt32);
  suspects @7 :List(ServerSuspects);
  heard @8 :List(Heard);
  storeReachedAgeMs @9 :Int64;
}

struct ConfigVersion { key @0 :Text; version @1 :Int64; }
struct ServerTokens { server @0 :Text; tokens @1 :Int64; }
struct ServerSuspects { server @0 :Text; fingerprints @1 :List(Text); }
struct Heard { member @0 :Text; incarnation @1 :Text; ageMs @2 :UInt32; }

struct Reserve {
  budget @0 :Text;
  requestId @1 :Text;
  tokens @2 :Int64;
  minimum @3 :Int64;
  holder @4 :Text;
}
struct ReserveAnswer { granted @0 :Int64; free @1 :Int64; }
struct Settle {
  budget @0 :Text;
  requestId @1 :Text;
  tokens @2 :Int64;
  keyed @3 :Bool;
}
struct Release { budget @0 :Text; requestId @1 :Text; }
struct Recall { budget @0 :Text; tokens @1 :Int64; }

struct JournalEntry {
  position @0 :Int64;
  budget @1 :Text;
  requestId @2 :Text;
  tokens @3 :Int64;
  keyed @4 :Bool;
}
struct JournalShard { shardKey @0 :Text; entries @1 :List(JournalEntry); }
struct JournalAppend {
  holder @0 :Text;
  shardKey @1 :Text;
  entries @2 :List(JournalEntry);
}
struct JournalQuery { holder @0 :Text; }
struct JournalAnswer { shards @0 :List(JournalShard); }

struct ConfigFetch { keys @0 :List(Text); }
struct ConfigObject { key @0 :Text; version @1 :Int64; value @2 :Data; }
struct ConfigObjects { objects @0 :List(ConfigObject); }

struct Header { name @0 :Text; value @1 :Text; }
struct Forward {
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}
struct Head { status @0 :UInt16; headers @1 :List(Header); }
struct Chunk { data @0 :Data; }
struct End {}
struct Cancel {}

struct CrashReport {
  reportId @0 :Text;
  server @1 :Text;
  fingerprints @2 :List(Text);
  quarantined @3 :List(Text);
  cleared @4 :List(Text);
}

struct StoreCall {
  operation @0 :Text;
  key @1 :Text;
  value @2 :Data;
  expectedVersion @3 :Int64;
}
struct StoreAnswer { status @0 :Text; version @1 :Int64; value @2 :Data; }

struct Ack {}
struct Failure {
  code @0 :UInt16;
  runState @1 :Text;
  message @2 :Text;
  retryAfterS @3 :Float64;   # NaN when there is no advice
}
