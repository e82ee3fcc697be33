@0xd3a1c6f07b52e948;
# Messages between daemons. Each WebSocket message carries one Envelope.
# Fields and union members are only ever added at the end.
# Rows of scalars are stored as columns: each access to a field of a row costs
# the Python library more than reading a whole list.

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
  configVersions @4 :ConfigVersions;
  inFlight @5 :ServerTokens;
  queueLengths @6 :List(UInt32);
  suspects @7 :List(ServerSuspects);
  heard @8 :Heard;
  storeReachedAgeMs @9 :Int64;
}

struct ConfigVersions { key @0 :List(Text); version @1 :List(Int64); }
struct ServerTokens { server @0 :List(Text); tokens @1 :List(Int64); }
struct ServerSuspects { server @0 :Text; fingerprints @1 :List(Text); }
struct Heard {
  member @0 :List(Text);
  incarnation @1 :List(Text);
  ageMs @2 :List(UInt32);
}

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

struct JournalEntries {
  position @0 :List(Int64);
  budget @1 :List(Text);
  requestId @2 :List(Text);
  tokens @3 :List(Int64);
  keyed @4 :List(Bool);
}
struct JournalShard { shardKey @0 :Text; entries @1 :JournalEntries; }
struct JournalAppend {
  holder @0 :Text;
  shardKey @1 :Text;
  entries @2 :JournalEntries;
}
struct JournalQuery { holder @0 :Text; }
struct JournalAnswer { shards @0 :List(JournalShard); }

struct ConfigFetch { keys @0 :List(Text); }
struct ConfigObjectRows {
  key @0 :List(Text);
  version @1 :List(Int64);
  value @2 :List(Data);
}
struct ConfigObjects { objects @0 :ConfigObjectRows; }

struct Headers { name @0 :List(Text); value @1 :List(Text); }
struct Forward {
  method @0 :Text;
  path @1 :Text;
  headers @2 :Headers;
  body @3 :Data;
}
struct Head { status @0 :UInt16; headers @1 :Headers; }
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
