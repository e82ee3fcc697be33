@0xd3a1c6f07b52e948;
# Messages between daemons. Each WebSocket message carries one Envelope.
# For compatibility, fields and union members are only added at the end.
# Lists of structs with scalar fields are stored as one list per field: in the
# Python library, one access to a field of a struct costs more than reading a
# whole list.

struct Envelope {
  messageId @0 :UInt64;
  replyTo @1 :UInt64;        # id of the message that this one answers or cancels
  sender @2 :Text;
  incarnation @3 :Text;
  position @4 :UInt32;       # number in a streamed answer, from 0
  oneWay @5 :Bool;           # the sender expects no answer
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
    settleAnswer @27 :SettleAnswer;
    recallAnswer @28 :RecallAnswer;
    suspectClaim @29 :SuspectClaim;
    suspectRelease @30 :SuspectRelease;
    grantDraw @31 :GrantDraw;
    grantGiven @32 :GrantGiven;
    grantLoan @33 :GrantLoan;
    grantHandOver @34 :GrantHandOver;
    loadReport @35 :LoadReport;
    loadTable @36 :LoadTable;
    grantBookWritten @37 :GrantBookWritten;  # no longer sent
    reserveRenewal @38 :ReserveRenewal;
    reserveRenewed @39 :ReserveRenewed;
    permitRequest @40 :PermitRequest;
    permitsGiven @41 :PermitsGiven;
    streamStarts @42 :StreamStarts;
    streamStartQuery @43 :StreamStartQuery;
  }
}

struct Heartbeat {
  member @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  state @3 :Text;
  configVersions @4 :ConfigVersions;
  inFlight @5 :ServersInFlight;
  queueLengths @6 :List(UInt32);
  suspects @7 :List(ServerSuspects);
  heard @8 :Heard;
  storeReachedAgeMs @9 :Int64;
  watchesStore @10 :Bool;
  hostSigns @11 :HostSigns;
  strength @12 :Int64;
  departures @13 :LeavingServers;
  serverLimits @14 :ServerLimits;
  crashes @15 :List(ServerCrash);
  documentVersions @16 :ConfigVersions;
  versionPeriod @17 :Int64;
  versionShares @18 :VersionShares;
  laterVersions @19 :ConfigVersions;
  watchSigns @20 :WatchSigns;
  lostServices @21 :List(Text);
  relayPort @22 :Int64;
  brittleServices @23 :BrittleServices;
  readAgesMs @24 :List(Int32);
}

struct ConfigVersions {
  key @0 :List(Text);
  version @1 :List(Int64);
  digest @2 :List(Int64);
}
struct ServersInFlight {
  server @0 :List(Text);
  requests @1 :List(UInt32);
  tokens @2 :List(Int64);
}
struct HostSigns { server @0 :List(Text); leaving @1 :List(Bool); }
struct LeavingServers {
  server @0 :List(Text);
  startedMs @1 :List(Int64);
  ageMs @2 :List(Int64);
}
struct ServerLimits {
  server @0 :List(Text);
  startedMs @1 :List(Int64);
  perS @2 :List(Float64);
  ageMs @3 :List(Int64);
}
struct WatchSigns { member @0 :List(Text); ageMs @1 :List(Int64); }
struct BrittleServices {
  service @0 :List(Text);
  perS @1 :List(Float64);
  ageMs @2 :List(Int64);
}
struct VersionShares {
  period @0 :List(Int64);
  service @1 :List(Text);
  version @2 :List(Text);
  weight @3 :List(Int64);
  endedAgeMs @4 :List(Int64);
}
struct ServerCrash {
  server @0 :Text;
  startedMs @1 :Int64;
  ageS @2 :Float64;
  suspects @3 :List(Text);
  cleared @4 :List(Text);
}
struct ServerSuspects { server @0 :Text; fingerprints @1 :List(Text); }
struct Heard {
  member @0 :List(Text);
  incarnation @1 :List(Text);
  ageMs @2 :List(UInt32);
}

struct Reserve {
  reservationId @0 :Text;
  asker @1 :Text;
  budget @2 :Text;
  requestId @3 :Text;
  tokens @4 :Int64;
  minimum @5 :Int64;
  mayDraw @6 :Bool;
}
struct ReserveAnswer {
  reservationId @0 :Text;
  tokens @1 :Int64;
  holder @2 :Text;
}
struct Settle {
  reservationId @0 :Text;
  asker @1 :Text;
  budget @2 :Text;
  requestId @3 :Text;
  tokens @4 :Int64;
}
struct SettleAnswer {
  reservationId @0 :Text;
  accepted @1 :Bool;
  billed @2 :Int64;
  left @3 :Int64;
}
struct Release { reservationId @0 :Text; asker @1 :Text; }
struct Recall { budget @0 :Text; asker @1 :Text; tokens @2 :Int64; }
struct RecallAnswer {
  budget @0 :Text;
  returned @1 :Int64;
  reserved @2 :Int64;
}

struct Settlement {
  position @0 :Int64;
  budget @1 :Text;
  requestId @2 :Text;
  tokens @3 :Int64;
  keyed @4 :Bool;
  pooled @5 :Bool;
}
struct JournalEntry { holder @0 :Text; settlement @1 :Settlement; }
struct DeferredSettle { settle @0 :Settle; peer @1 :Text; holder @2 :Text; }
struct JournalFloors {
  holder @0 :List(Text);
  shard @1 :List(Text);
  position @2 :List(Int64);
}
struct JournalAppend {
  origin @0 :Text;
  entries @1 :List(JournalEntry);
  deferred @2 :List(DeferredSettle);
  floors @3 :JournalFloors;
  resolved @4 :List(Text);
  closing @5 :Bool;
}
struct JournalQuery { origin @0 :Text; }
struct JournalAnswer {
  origin @0 :Text;
  entries @1 :List(JournalEntry);
  deferred @2 :List(DeferredSettle);
}

struct ConfigFetch { keys @0 :List(Text); knowsEras @1 :Bool; }
struct ConfigObjectRows {
  key @0 :List(Text);
  version @1 :List(Int64);
  value @2 :List(Data);
}
struct ConfigObjects { objects @0 :ConfigObjectRows; hasEras @1 :Bool; }

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
  origin @0 :Text;
  number @1 :Int64;
  server @2 :Text;
  fingerprints @3 :List(Text);
  repeats @4 :List(Text);
  cleared @5 :List(Text);
  ageS @6 :Float64;
}

struct SuspectClaim { fingerprint @0 :Text; server @1 :Text; }
struct SuspectRelease { fingerprint @0 :Text; server @1 :Text; }

struct StoreCall {
  operation @0 :Text;
  key @1 :Text;
  value @2 :Data;
  expectedVersion @3 :Int64;
}
struct StoreAnswer { status @0 :Text; version @1 :Int64; value @2 :Data; }

struct GrantDraw {
  team @0 :Text;
  need @1 :Int64;
  ahead @2 :Int64;
  spent @3 :Int64;
}
struct GrantLoan { team @0 :Text; tokens @1 :Int64; }
struct GrantHandOver { team @0 :Text; tokens @1 :Int64; }
struct GrantBookWritten {
  team @0 :Text;
  version @1 :Int64;
  value @2 :Data;
}
struct GrantGiven {
  team @0 :Text;
  tokens @1 :Int64;
  reachedStore @2 :Bool;
  unspent @3 :Int64;
  opensInS @4 :Float64;
}
struct TeamsTokens { team @0 :List(Text); tokens @1 :List(Int64); }
struct TeamsParts {
  team @0 :List(Text);
  tokens @1 :List(Int64);
  openS @2 :List(Float64);
}
struct HostTimes { bootId @0 :Text; bootS @1 :Float64; wallS @2 :Float64; }
struct ReserveRenewal {
  host @0 :Text;
  holder @1 :Text;
  started @2 :HostTimes;
  stamp @3 :HostTimes;
  number @4 :Int64;
  believed @5 :TeamsParts;
  opened @6 :TeamsTokens;
}
struct ReserveRenewed {
  number @0 :Int64;
  written @1 :Bool;
  held @2 :TeamsParts;
  targets @3 :TeamsParts;
  ledgerVersion @4 :Int64;
  ledger @5 :Data;           # compressed JSON
}

struct PartsRead { part @0 :List(Text); server @1 :List(Text); }
struct LoadReport {
  inFlight @0 :ServersInFlight;
  read @1 :PartsRead;
  wanted @2 :List(Text);
  isQuestion @3 :Bool;
  isZoneSum @4 :Bool;
  loadDetails @5 :ServerLoadDetails;
  wantsPartsOnly @6 :Bool;
}
struct LoadTable {
  inFlight @0 :ServersInFlight;
  read @1 :PartsRead;
  loadDetails @2 :ServerLoadDetails;
}
struct ServerLoadDetails {
  heldPages @0 :List(UInt32);
  slownessTenths @1 :List(UInt32);
  sampleTenths @2 :List(UInt32);
}

struct PermitRequest {
  server @0 :Text;
  startedMs @1 :Int64;
  perS @2 :Float64;
  wanted @3 :Int64;
  stampS @4 :Float64;
  leaseS @5 :Float64;
}
struct PermitsGiven { count @0 :Int64; waitS @1 :Float64; stampS @2 :Float64; }

struct StreamStartRows {
  attempt @0 :List(Text);
  service @1 :List(Text);
  version @2 :List(Text);
  ageMs @3 :List(Int64);
}
struct StreamStarts { starts @0 :StreamStartRows; }
struct StreamStartQuery { attempt @0 :Text; }

struct Ack { accepted @0 :Bool; }
struct Failure {
  code @0 :UInt16;
  runState @1 :Text;
  message @2 :Text;
  retryAfterS @3 :Float64;   # NaN if the peer gives no retry time
}
