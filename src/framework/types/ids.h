#pragma once

#include "framework/types/ordinal.h"
#include "framework/types/stringid.h"

namespace lavendertally::framework {

struct AvailabilityZoneTag;
struct HostTag;
struct BackendServerTag;
struct DaemonTag;
struct TeamTag;
struct PipelineTag;
struct StageTag;
struct ServiceTag;
struct SoftwareVersionTag;
struct ModelTag;
struct RequestTag;
struct OperationTag;
struct AttemptTag;
struct LogOffsetTag;
struct StoreEraTag;
struct ReportTag;
struct FencingTag;
struct IncarnationTag;
struct RouteTag;
struct ApiKeyTag;
struct PromptPartTag;
struct CrashTag;
struct StageResultTag;
struct StageInputTag;
struct ConfigurationVersionTag;
struct StreamEventTag;
struct PriorityRankTag;

using AvailabilityZoneId = StringId<AvailabilityZoneTag>;
using HostId = StringId<HostTag>;
using BackendServerId = StringId<BackendServerTag>;
/// One running lavendertallyd, in either role.
using DaemonId = StringId<DaemonTag>;
using TeamId = StringId<TeamTag>;
using PipelineId = StringId<PipelineTag>;
/// Name of a stage within its pipeline.
using StageId = StringId<StageTag>;
/// Pool of backend servers that answer the same kind of call.
using ServiceId = StringId<ServiceTag>;
/// Version of the software that a backend server runs; empty if it names none.
using SoftwareVersion = StringId<SoftwareVersionTag>;
using ModelId = StringId<ModelTag>;
/// Chosen by the caller; unique within its team.
using RequestId = StringId<RequestTag>;
/// One change made by an operator, chosen by the command-line tool.
using OperationId = StringId<OperationTag>;
/// One try to run one stage of one request; unique within the daemon that made it.
using AttemptId = Ordinal<AttemptTag>;
/// Position of a record in one stream of the log service.
using LogOffset = Ordinal<LogOffsetTag>;
/// Rises each time that the store comes back from a copy; offsets of two eras do not compare.
using StoreEra = Ordinal<StoreEraTag>;
using FencingNumber = Ordinal<FencingTag>;
/// Counts the starts of a backend server; a greater one means that it lost its state.
using Incarnation = Ordinal<IncarnationTag>;

/// Counts what a backend server has said of itself since its start.
using ReportNumber = Ordinal<ReportTag>;

/// Where requests of one kind enter, and what becomes of them.
using RouteId = StringId<RouteTag>;
/// Secret with which a team's clients identify themselves; never logged.
using ApiKey = StringId<ApiKeyTag>;
/// Part of a prompt that several requests may share; a hash of its name, so that its size is fixed.
using PromptPartId = Ordinal<PromptPartTag>;
/// One crash of a backend server; a hash of its id and its incarnation.
using CrashId = Ordinal<CrashTag>;
/// Result of one piece of a stage, where it lies at the backend server that made it.
using StageResultId = StringId<StageResultTag>;
/// What the first stages of a request work on.
using StageInputId = StringId<StageInputTag>;
using ConfigurationVersion = Ordinal<ConfigurationVersionTag>;
/// Position of an event in its stream.
using StreamEventId = Ordinal<StreamEventTag>;

/// Rank of a request; zero goes first.
using PriorityRank = Ordinal<PriorityRankTag>;

} // namespace lavendertally::framework
