#include "protocol/internal/protobufcodec.h"

#include "protocol/internal/inner.pb.h"
#include "protocol/types/protocolerror.h"

#include <cstdint>

namespace lavendertally::protocol {

namespace {

constexpr std::uint32_t ProtocolVersion = 1;

void write(const LoadReport &load, wire::LoadReport &out)
{
    out.set_running(load.running);
    out.set_queued(load.queued);
    out.set_limit(load.limit);
    out.set_cold(load.cold);
    out.set_expected_wait_ms(load.expectedWait.value());
    out.set_incarnation(load.incarnation.value());
}

void write(const StageRequest &request, wire::StageRequest &out)
{
    out.set_sender(request.sender.value());
    out.set_revision(request.revision.value());
    out.set_request(request.request.value());
    out.set_attempt(request.attempt.value());
    out.set_team(request.team.value());
    out.set_pipeline(request.pipeline.value());
    out.set_stage(request.stage.value());
    out.set_service(request.service.value());
    out.set_priority(static_cast<std::uint32_t>(request.priority));
    out.set_share(request.share);
    out.set_budget_ms(request.budget.value());
    out.set_max_tokens(request.maxTokens.value());
    out.set_idempotent(request.idempotent);
    out.set_stream(request.stream);
    out.set_payload(request.payload);
}

void write(const StageChunk &chunk, wire::StageChunk &out)
{
    out.set_attempt(chunk.attempt.value());
    out.set_sequence(chunk.sequence);
    out.set_tokens(chunk.tokens.value());
    out.set_text(chunk.text);
}

void write(const StageResult &result, wire::StageResult &out)
{
    out.set_attempt(result.attempt.value());
    out.set_revision(result.revision.value());
    out.set_status(static_cast<std::uint32_t>(result.status));
    out.set_reason(static_cast<std::uint32_t>(result.reason));
    out.set_detail(result.detail);
    out.set_chunks(result.chunks);
    out.set_payload(result.payload);
    out.set_tokens(result.tokens.value());
    out.set_service_time_ms(result.serviceTime.value());
    out.set_cost(result.cost.value());
    write(result.load, *out.mutable_load());
    if (result.crash) {
        out.set_crash(result.crash->value());
    }
}

void write(const CrashEvidence &evidence, wire::CrashEvidence &out)
{
    out.set_part(evidence.part.value());
    out.set_crash(evidence.crash.value());
    out.set_attempt_age_ms(evidence.attemptAge.value());
    out.set_crash_age_ms(evidence.crashAge.value());
    out.set_known_good(evidence.isKnownGood);
    out.set_refuted(evidence.isRefuted);
}

void write(const RevisionQuery &query, wire::RevisionQuery &out)
{
    out.set_sender(query.sender.value());
    out.set_revision(query.revision.value());
    for (const CrashEvidence &evidence : query.evidence) {
        write(evidence, *out.add_evidence());
    }
    out.set_takes_evidence(query.takesEvidence);
}

void write(const RevisionReply &reply, wire::RevisionReply &out)
{
    out.set_sender(reply.sender.value());
    out.set_revision(reply.revision.value());
    out.set_snapshot(reply.snapshot);
    for (const configuration::ControlRecord &record : reply.records) {
        wire::ControlRecord &target = *out.add_records();
        target.set_offset(record.offset.value());
        target.set_data(record.data);
    }
    for (const CrashEvidence &evidence : reply.evidence) {
        write(evidence, *out.add_evidence());
    }
}

void write(const LoadQuery &query, wire::LoadQuery &out)
{
    out.set_sender(query.sender.value());
    out.set_revision(query.revision.value());
}

/// Writes each type of message to its field of the envelope.
struct EnvelopeWriter
{
    wire::Envelope &envelope;

    void operator()(const StageRequest &m) const { write(m, *envelope.mutable_stage_request()); }
    void operator()(const StageChunk &m) const { write(m, *envelope.mutable_stage_chunk()); }
    void operator()(const StageResult &m) const { write(m, *envelope.mutable_stage_result()); }
    void operator()(const RevisionQuery &m) const { write(m, *envelope.mutable_revision_query()); }
    void operator()(const RevisionReply &m) const { write(m, *envelope.mutable_revision_reply()); }
    void operator()(const LoadQuery &m) const { write(m, *envelope.mutable_load_query()); }
    void operator()(const LoadReport &m) const { write(m, *envelope.mutable_load_report()); }
};

template <typename Enum>
bool isInRange(std::uint32_t value, Enum last)
{
    return value <= static_cast<std::uint32_t>(last);
}

framework::leaf::error_id malformedError()
{
    return framework::leaf::new_error(ProtocolError::Malformed);
}

LoadReport read(const wire::LoadReport &in)
{
    LoadReport load;
    load.running = in.running();
    load.queued = in.queued();
    load.limit = in.limit();
    load.cold = in.cold();
    load.expectedWait = framework::Milliseconds(in.expected_wait_ms());
    load.incarnation = framework::Incarnation(in.incarnation());
    return load;
}

framework::Result<Message> read(const wire::StageRequest &in)
{
    if (in.sender().empty() || in.service().empty() || in.stage().empty()) {
        return malformedError();
    }
    if (!isInRange(in.priority(), configuration::PriorityClass::Background)) {
        return malformedError();
    }
    StageRequest request;
    request.sender = framework::DaemonId(in.sender());
    request.revision = framework::LogOffset(in.revision());
    request.request = framework::RequestId(in.request());
    request.attempt = framework::AttemptId(in.attempt());
    request.team = framework::TeamId(in.team());
    request.pipeline = framework::PipelineId(in.pipeline());
    request.stage = framework::StageId(in.stage());
    request.service = framework::ServiceId(in.service());
    request.priority = static_cast<configuration::PriorityClass>(in.priority());
    request.share = in.share();
    request.budget = framework::Milliseconds(in.budget_ms());
    request.maxTokens = framework::TokenCount(in.max_tokens());
    request.idempotent = in.idempotent();
    request.stream = in.stream();
    request.payload = in.payload();
    return Message(std::move(request));
}

framework::Result<Message> read(const wire::StageChunk &in)
{
    StageChunk chunk;
    chunk.attempt = framework::AttemptId(in.attempt());
    chunk.sequence = in.sequence();
    chunk.tokens = framework::TokenCount(in.tokens());
    chunk.text = in.text();
    return Message(std::move(chunk));
}

framework::Result<Message> read(const wire::StageResult &in)
{
    if (!isInRange(in.status(), StageStatus::Unknown)
        || !isInRange(in.reason(), RefusalReason::PromptQuarantined)) {
        return malformedError();
    }
    StageResult result;
    result.attempt = framework::AttemptId(in.attempt());
    result.revision = framework::LogOffset(in.revision());
    result.status = static_cast<StageStatus>(in.status());
    result.reason = static_cast<RefusalReason>(in.reason());
    result.detail = in.detail();
    result.chunks = in.chunks();
    result.payload = in.payload();
    result.tokens = framework::TokenCount(in.tokens());
    result.serviceTime = framework::Milliseconds(in.service_time_ms());
    result.cost = framework::MicroCost(in.cost());
    result.load = read(in.load());
    if (in.has_crash()) {
        result.crash = framework::CrashId(in.crash());
    }
    return Message(std::move(result));
}

template <typename WireMessage>
framework::Result<std::vector<CrashEvidence>> readEvidence(const WireMessage &in)
{
    if (static_cast<std::size_t>(in.evidence_size()) > CrashEvidence::MaxInControlMessage) {
        return malformedError();
    }
    std::vector<CrashEvidence> all;
    for (const wire::CrashEvidence &item : in.evidence()) {
        CrashEvidence evidence;
        evidence.part = framework::PromptPartId(item.part());
        evidence.crash = framework::CrashId(item.crash());
        evidence.attemptAge = framework::Milliseconds(item.attempt_age_ms());
        evidence.crashAge = framework::Milliseconds(item.crash_age_ms());
        evidence.isKnownGood = item.known_good();
        evidence.isRefuted = item.refuted();
        all.push_back(evidence);
    }
    return all;
}

framework::Result<Message> read(const wire::RevisionQuery &in)
{
    RevisionQuery query;
    query.sender = framework::DaemonId(in.sender());
    query.revision = framework::LogOffset(in.revision());
    BOOST_LEAF_ASSIGN(query.evidence, readEvidence(in));
    query.takesEvidence = in.takes_evidence();
    return Message(std::move(query));
}

framework::Result<Message> read(const wire::LoadQuery &in)
{
    LoadQuery query;
    query.sender = framework::DaemonId(in.sender());
    query.revision = framework::LogOffset(in.revision());
    return Message(std::move(query));
}

framework::Result<Message> read(const wire::RevisionReply &in)
{
    RevisionReply reply;
    reply.sender = framework::DaemonId(in.sender());
    reply.revision = framework::LogOffset(in.revision());
    reply.snapshot = in.snapshot();
    for (const wire::ControlRecord &record : in.records()) {
        reply.records.push_back({framework::LogOffset(record.offset()), record.data()});
    }
    BOOST_LEAF_ASSIGN(reply.evidence, readEvidence(in));
    return Message(std::move(reply));
}

} // namespace

std::string ProtobufCodec::encode(const Message &message) const
{
    wire::Envelope envelope;
    envelope.set_version(ProtocolVersion);
    std::visit(EnvelopeWriter{envelope}, message);
    return envelope.SerializeAsString();
}

framework::Result<Message> ProtobufCodec::decode(std::string_view bytes) const
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return malformedError();
    }
    if (envelope.version() != ProtocolVersion) {
        return framework::leaf::new_error(ProtocolError::UnknownVersion);
    }
    switch (envelope.body_case()) {
    case wire::Envelope::kStageRequest:
        return read(envelope.stage_request());
    case wire::Envelope::kStageChunk:
        return read(envelope.stage_chunk());
    case wire::Envelope::kStageResult:
        return read(envelope.stage_result());
    case wire::Envelope::kRevisionQuery:
        return read(envelope.revision_query());
    case wire::Envelope::kRevisionReply:
        return read(envelope.revision_reply());
    case wire::Envelope::kLoadQuery:
        return read(envelope.load_query());
    case wire::Envelope::kLoadReport:
        return Message(read(envelope.load_report()));
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return malformedError();
}

} // namespace lavendertally::protocol
