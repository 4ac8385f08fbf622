// RPC between mulberryhitch's processes, and records stored on disk.

struct Problem {
  1: string code,
  2: string what,
  3: string where,
  4: double retry_after_seconds,
}

exception Failed {
  1: Problem problem,
}

struct CallHeader {
  1: string caller,
  2: double timeout_seconds,
}

// Replicated logs.

struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: string kind,
  4: binary body,
}

struct HelloRequest {
  1: string group,
  2: string replica_id,
  3: bool configured,
  4: bool retiring = 0,
  5: list<string> silent_ids = [],
  6: list<double> silent_seconds = [],
  7: string data_centre = "",
}

struct HelloReply {
  1: string replica_id,
  2: bool configured,
  3: list<string> voters,
  4: list<string> learners,
  5: i64 last_index,
  6: string data_centre = "",
}

struct VoteRequest {
  1: string group,
  2: string target,
  3: i64 term,
  4: string candidate,
  5: i64 last_index,
  6: i64 last_term,
  7: bool pre_vote,
  8: bool transfer,
  9: double election_seconds = 0,
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
  3: string reason = "",
}

struct AppendRequest {
  1: string group,
  2: string target,
  3: i64 term,
  4: string leader,
  5: i64 previous_index,
  6: i64 previous_term,
  7: i64 commit_index,
  8: list<LogEntry> entries,
  9: double election_seconds = 0,
  10: i64 lease_epoch = 0,
}

struct AppendReply {
  1: i64 term,
  2: bool success,
  3: i64 last_index,
  4: double promised_seconds = 0,
  5: bool is_room_short = false,
}

struct SnapshotRequest {
  1: string group,
  2: string target,
  3: i64 term,
  4: string leader,
  5: i64 last_index,
  6: i64 last_term,
  7: list<string> voters,
  8: list<string> learners,
  9: binary state,
  10: i64 offset,
  11: bool done,
}

struct SnapshotReply {
  1: i64 term,
  2: i64 next_offset,
}

struct TakeOverRequest {
  1: string group,
  2: string target,
  3: i64 term,
}

struct TakeOverReply {
  1: bool accepted,
}

struct VoteRecord {
  1: i64 term,
  2: string voted_for,
  3: double promised_seconds = 0,
}

struct SnapshotRecord {
  1: i64 last_index,
  2: i64 last_term,
  3: list<string> voters,
  4: list<string> learners,
  5: binary state,
}

struct IdentityRecord {
  1: string replica_id,
}

// Operations on the replicated state, executed by a group's leader.

struct ExecuteRequest {
  1: string group,
  2: string name,
  3: binary body,
}

struct ExecuteReply {
  1: binary body,
}

// Membership.

struct GroupView {
  1: string group,
  2: i64 term,
  3: string leader,
}

struct Announcement {
  1: string backend_server_id,
  2: string service_name,
  3: string data_centre,
  4: string address,
  5: string state,
  6: i64 slots,
  7: i64 connections,
  8: i64 busy,
  9: string owner,
  10: double owner_anchor,
  11: i64 incarnation,
  12: i64 sequence,
  13: double age_seconds,
}

struct ServiceLoad {
  1: string service_name,
  2: i64 free_slots,
  3: i64 queued,
}

struct Capacity {
  1: double processors,
  2: double memory_bytes,
  3: double accelerators,
  4: i64 queued_tasks,
}

struct Heartbeat {
  1: string member_id,
  2: i64 incarnation,
  3: string role,
  4: string data_centre,
  5: string vm,
  6: string rpc_address,
  7: string http_address,
  8: string state,
  9: i64 configuration_version,
  10: list<GroupView> groups,
  11: list<Announcement> announcements,
  12: list<ServiceLoad> loads,
  13: list<Capacity> capacities,
  14: double clock,
}

struct ConfigurationRequest {
  1: i64 known_version,
}

struct ConfigurationReply {
  1: i64 version,
  2: binary document,
}

service Node {
  HelloReply hello(1: CallHeader header, 2: HelloRequest request)
    throws (1: Failed failed),
  VoteReply vote(1: CallHeader header, 2: VoteRequest request)
    throws (1: Failed failed),
  AppendReply append(1: CallHeader header, 2: AppendRequest request)
    throws (1: Failed failed),
  SnapshotReply install_snapshot(
    1: CallHeader header, 2: SnapshotRequest request)
    throws (1: Failed failed),
  TakeOverReply take_over(1: CallHeader header, 2: TakeOverRequest request)
    throws (1: Failed failed),
  ExecuteReply execute(1: CallHeader header, 2: ExecuteRequest request)
    throws (1: Failed failed),
  Heartbeat exchange(1: CallHeader header, 2: Heartbeat request)
    throws (1: Failed failed),
  ConfigurationReply fetch_configuration(
    1: CallHeader header, 2: ConfigurationRequest request)
    throws (1: Failed failed),
}
