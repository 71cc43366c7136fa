#pragma once

#include <string_view>

namespace lavendertally::platform::wire {

// Header fields.
inline constexpr std::string_view RequestId = "X-Lavendertally-Request-Id";
inline constexpr std::string_view DeadlineMs = "X-Lavendertally-Deadline-Ms";
inline constexpr std::string_view ExpectInstance = "X-Lavendertally-Expect-Instance";
inline constexpr std::string_view ExpectVersion = "X-Lavendertally-Expect-Version";
inline constexpr std::string_view Tenant = "X-Lavendertally-Tenant";
inline constexpr std::string_view ApiKey = "Api-Key";
inline constexpr std::string_view Model = "X-Lavendertally-Model";
inline constexpr std::string_view TokenCount = "X-Lavendertally-Token-Count";
inline constexpr std::string_view PromptPrefix = "X-Lavendertally-Prompt-Prefix";
inline constexpr std::string_view LengthHint = "X-Lavendertally-Length-Hint";
inline constexpr std::string_view LastEventId = "Last-Event-Id";
inline constexpr std::string_view Pieces = "X-Lavendertally-Pieces";
inline constexpr std::string_view PieceKey = "X-Lavendertally-Piece-Key";
inline constexpr std::string_view Inputs = "X-Lavendertally-Inputs";
inline constexpr std::string_view Urgency = "X-Lavendertally-Request-Urgency";
inline constexpr std::string_view PinMs = "X-Lavendertally-Pin-Ms";
inline constexpr std::string_view KvHold = "X-Lavendertally-Kv-Hold";
inline constexpr std::string_view KvBackup = "X-Lavendertally-Kv-Backup";
inline constexpr std::string_view KvFrom = "Kv-From";
inline constexpr std::string_view KvFetch = "Kv-Fetch";
/// A worker's proof that it made the answer.
inline constexpr std::string_view Signature = "X-Lavendertally-Response-Signature";
inline constexpr std::string_view NotExecuted = "X-Lavendertally-Not-Executed";
/// Running, waiting, places and, from some workers, how long work takes there now (100 is usual),
/// separated by commas.
inline constexpr std::string_view ServerLoad = "X-Lavendertally-Server-Load";
/// Requests a second that a worker takes from all machines together.
inline constexpr std::string_view ServerLimit = "Server-Limit";
/// In all answers of a worker that leaves.
inline constexpr std::string_view ServerLeaving = "Server-Leaving";
/// In all answers of the store; rises by one each time that it comes back from a copy.
inline constexpr std::string_view StoreEra = "Store-Era";
inline constexpr std::string_view RetryAfter = "Retry-After";

// Topics of the store, and keys in them.
inline constexpr std::string_view OperatorTopic = "keyed.op";
inline constexpr std::string_view ServersTopic = "keyed.servers";
/// Our own topic: the daemons that are up.
inline constexpr std::string_view DaemonsTopic = "keyed.daemons";
inline constexpr std::string_view ConfigurationKey = "config";
inline constexpr std::string_view EvacuateKeyPrefix = "evacuate/";
/// May stand before the keys of the operators' topic.
inline constexpr std::string_view OperatorKeyPrefix = "op/";
inline constexpr std::string_view RolloutOrderKeyPrefix = "rollout/";
/// Our own topic: what operators are told.
inline constexpr std::string_view StatusTopic = "keyed.status";
inline constexpr std::string_view RolloutStatusKeyPrefix = "rollout/";

// Calls.
inline constexpr std::string_view LogAppend = "/log-append";
inline constexpr std::string_view LogRead = "/log-read";
inline constexpr std::string_view LogNewest = "/log-newest";
inline constexpr std::string_view StageRun = "/stage-run";
inline constexpr std::string_view StageFree = "/stage-free";
inline constexpr std::string_view Report = "/report";

inline constexpr std::string_view JsonType = "application/json";
inline constexpr std::string_view EventStreamType = "text/event-stream";

} // namespace lavendertally::platform::wire
