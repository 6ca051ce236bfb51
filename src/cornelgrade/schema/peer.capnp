@0xd1f0a4c87b3e5296;
# Datagrams between the system's own processes.

enum State {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Member {
  vm @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
  incarnation @3 :UInt64;
  state @4 :State;
  peerAddress @5 :Text;
  workerAddress @6 :Text;
  gatewayAddress @7 :Text;
  manifestVersion @8 :UInt64;
}

struct Load {
  upstream @0 :Text;
  outstanding @1 :UInt32;
  queued @2 :UInt32;
}

struct Yield {
  upstream @0 :Text;
  slots @1 :UInt32;
}

struct Share {
  upstream @0 :Text;
  slots @1 :UInt32;
}

struct Quarantined {
  fingerprint @0 :Text;
  crashes @1 :UInt32;
  expiresS @2 :Float64;
  source @3 :Text;
  seen @4 :UInt32;
  sightings @5 :List(CrashSighting);
}

struct CrashSighting {
  crash @0 :UInt64;
  ageMs @1 :UInt32;
  exact @2 :Bool;
  attributed @3 :Bool;
  weak @4 :Bool;
}

struct UpstreamCrashed {
  source @0 :Text;
  upstream @1 :Text;
  inFlight @2 :UInt32;
  suspects @3 :UInt32;
  fingerprint @4 :Text;
}

struct Leaving {
  upstream @0 :Text;
  startedMs @1 :UInt64;
}

struct Probe {
  number @0 :UInt64;
}

struct ProbeRequest {
  number @0 :UInt64;
  vm @1 :Text;
}

struct TeamUse {
  team @0 :UInt32;
  online @1 :UInt32;
}

struct UpstreamUse {
  upstream @0 :Text;
  online @1 :UInt32;
  batch @2 :UInt32;
  teams @3 :List(TeamUse);
  overShare @4 :List(UInt32);
  tookMs @5 :UInt32;
}

struct ItemFailures {
  item @0 :UInt32;
  failures @1 :UInt32;
}

struct JobClaim {
  job @0 :Text;
  running @1 :Data;
  done @2 :Data;
  failed @3 :List(ItemFailures);
  receivedMs @4 :UInt64;
}

struct Followed {
  kind @0 :Text;
  revision @1 :UInt64;
}

struct StreamOrigin {
  request @0 :UInt64;
  service @1 :Text;
  version @2 :Text;
}

struct UpstreamLimit {
  upstream @0 :Text;
  startedMs @1 :UInt64;
  perS @2 :Float64;
}

struct AllowanceRequest {
  upstream @0 :Text;
  startedMs @1 :UInt64;
  wanted @2 :UInt32;
  isTeam @3 :Bool;
  used @4 :UInt32;
}

struct AllowanceGrant {
  upstream @0 :Text;
  startedMs @1 :UInt64;
  tokens @2 :UInt32;
  waitS @3 :Float64;
  expectedS @4 :Float64;
  isTeam @5 :Bool;
}

struct ReachReport {
  services @0 :List(Text);
  active @1 :UInt32;
}

struct UpstreamQuery {
  upstream @0 :Text;
  startedMs @1 :UInt64;
}

struct UpstreamOutcome {
  upstream @0 :Text;
  startedMs @1 :UInt64;
  request @2 :UInt64;
  successes @3 :UInt32;
  failed @4 :Bool;
  isTrial @5 :Bool;
  served @6 :Bool;
  broken @7 :Bool;
}

struct Ejection {
  upstream @0 :Text;
  startedMs @1 :UInt64;
  failureShare @2 :Float64;
  failedTrials @3 :UInt32;
  trials @4 :UInt32;
  takesAny @5 :Bool;
  ended @6 :Bool;
}

struct Rumor {
  origin @0 :Text;
  number @1 :UInt64;
  union {
    load @2 :Load;
    yield @3 :Yield;
    quarantined @4 :Quarantined;
    leaving @5 :Leaving;
    share @6 :Share;
    upstreamCrashed @7 :UpstreamCrashed;
  }
}

struct Datagram {
  sender @0 :Text;
  session @1 :UInt64;
  sequence @2 :UInt64;
  sentMs @3 :UInt64;
  members @4 :List(Member);
  rumors @5 :List(Rumor);
  union {
    ping @6 :Probe;
    ack @7 :Probe;
    probeRequest @8 :ProbeRequest;
    join @9 :Void;
    roster @10 :Void;
    version @11 :UInt64;
    load @12 :Load;
    yield @13 :Yield;
    quarantined @14 :Quarantined;
    leaving @15 :Leaving;
    share @16 :Share;
    upstreamCrashed @17 :UpstreamCrashed;
    uses @18 :List(UpstreamUse);
    jobClaims @19 :List(JobClaim);
    storeProgress @20 :List(Followed);
    streamOrigins @21 :List(StreamOrigin);
    streamOriginQuery @22 :UInt64;
    upstreamLimits @23 :List(UpstreamLimit);
    allowanceRequest @24 :AllowanceRequest;
    allowanceGrant @25 :AllowanceGrant;
    reachQuery @26 :Void;
    reachReport @27 :ReachReport;
    upstreamQuery @28 :UpstreamQuery;
    upstreamResponds @29 :Text;
    upstreamOutcome @31 :UpstreamOutcome;
    ejections @32 :List(Ejection);
  }
  planVersion @30 :UInt64;
}
