#include "protocol/internal/protobufpeercodec.h"

#include "protocol/internal/peer.pb.h"
#include "protocol/internal/rolloutcodec.h"
#include "protocol/types/protocolerror.h"

#include <cstdint>
#include <limits>
#include <utility>

namespace lavendertally::protocol {

namespace {

constexpr std::uint32_t PeerProtocolVersion = 1;

bool differInPartOnly(const CrashEvidence &left, CrashEvidence right)
{
    right.part = left.part;
    return left == right;
}

/// Writes each type of message to its field of the envelope.
class EnvelopeWriter
{
public:
    explicit EnvelopeWriter(peerwire::Envelope &target) : m_envelope(target) { }

    void operator()(const PeerHello &message) const
    {
        m_envelope.mutable_hello()->set_daemon(message.daemon.value());
        m_envelope.mutable_hello()->set_takes_crash_reports(message.takesCrashReports);
        m_envelope.mutable_hello()->set_takes_rate_limits(message.takesRateLimits);
        m_envelope.mutable_hello()->set_takes_rollouts(message.takesRollouts);
        m_envelope.mutable_hello()->set_takes_connection_leases(message.takesConnectionLeases);
    }
    void operator()(const PeerPing &message) const
    {
        m_envelope.mutable_ping()->set_sent_ms(message.sent.sinceEpoch());
    }
    void operator()(const PeerPong &message) const
    {
        peerwire::Pong &out = *m_envelope.mutable_pong();
        if (message.pingSent) {
            out.set_ping_sent_ms(message.pingSent->sinceEpoch());
        }
        out.set_accepts_jobs(message.acceptsJobs);
        out.set_uptime_ms(message.uptime.value());
        out.set_takes_rate_limits(message.takesRateLimits);
        out.set_takes_rollouts(message.takesRollouts);
        out.set_takes_connection_leases(message.takesConnectionLeases);
        if (message.crashFingerprint) {
            out.set_crash_fingerprint(message.crashFingerprint->value());
        }
        for (const TopicDigest &digest : message.digests) {
            peerwire::TopicDigest &target = *out.add_digests();
            target.set_topic(static_cast<std::uint32_t>(digest.topic));
            target.set_era(digest.era.value());
            target.set_changed(digest.lastChangeEnd.value());
            target.set_next(digest.next.value());
            target.set_age_ms(digest.age.value());
            if (digest.sinceRecovery) {
                target.set_returned_ms(digest.sinceRecovery->value());
                target.set_away_ms(digest.outage.value());
            }
        }
    }
    void operator()(const StageJob &message) const
    {
        peerwire::StageJob &out = *m_envelope.mutable_stage_job();
        out.set_request(message.request.value());
        out.set_route(message.route.value());
        for (const JobStage &stage : message.stages) {
            peerwire::JobStage &target = *out.add_stages();
            target.set_index(stage.index);
            target.set_service(stage.service.value());
            target.mutable_after()->Add(stage.after.begin(), stage.after.end());
            target.set_pieces(stage.pieces);
            target.set_result_bytes(stage.resultSize.value());
        }
        out.set_input(message.input.value());
        out.set_objective_left_ms(message.objectiveLeft.value());
        out.set_time_left_ms(message.timeLeft.value());
        out.set_priority(message.priority.value());
        out.set_worth(message.worth);
        out.set_zone(message.zone.value());
    }
    void operator()(const StageJobCancel &message) const
    {
        m_envelope.mutable_stage_job_cancel()->set_request(message.request.value());
    }
    void operator()(const StageJobOutcome &message) const
    {
        peerwire::StageJobOutcome &out = *m_envelope.mutable_stage_job_outcome();
        out.set_request(message.request.value());
        out.set_status(static_cast<std::uint32_t>(message.status));
        for (const StageResultPlace &place : message.results) {
            peerwire::StageResultPlace &target = *out.add_results();
            target.set_id(place.id.value());
            target.set_zone(place.zone.value());
        }
        out.set_retry_after_ms(message.retryAfter.value());
    }
    void operator()(const StageResultRelease &message) const
    {
        peerwire::StageResultRelease &out = *m_envelope.mutable_stage_result_release();
        for (const framework::StageResultId &result : message.results) {
            out.add_results(result.value());
        }
    }
    void operator()(const StageHoldings &message) const
    {
        // Selects the field also if there are no holdings.
        m_envelope.mutable_stage_holdings();
        for (const StageHolding &holding : message.holdings) {
            peerwire::StageHolding &target = *m_envelope.mutable_stage_holdings()->add_holdings();
            target.set_server(holding.server.value());
            target.set_held_bytes(holding.held.value());
            target.set_calls(holding.calls);
        }
    }
    void operator()(const TopicQuery &message) const
    {
        peerwire::TopicQuery &out = *m_envelope.mutable_topic_query();
        out.set_topic(static_cast<std::uint32_t>(message.topic));
        out.set_sequence(message.sequence);
        if (message.from) {
            out.set_from(message.from->value());
        }
        out.set_era(message.era.value());
    }
    void operator()(const TopicState &message) const
    {
        peerwire::TopicState &out = *m_envelope.mutable_topic_state();
        out.set_topic(static_cast<std::uint32_t>(message.topic));
        out.set_sequence(message.sequence);
        out.set_is_complete(message.isComplete);
        for (const TopicRecord &record : message.records) {
            peerwire::TopicRecord &target = *out.add_records();
            target.set_offset(record.offset.value());
            target.set_key(record.key);
            if (record.value) {
                target.set_value(*record.value);
            }
            if (record.lastVersion) {
                target.set_last_incarnation(record.lastVersion->incarnation.value());
                target.set_last_number(record.lastVersion->number.value());
            }
            target.set_restarts_numbers(record.restartsNumbers);
        }
        out.set_next(message.next.value());
        out.set_era(message.era.value());
        out.set_age_ms(message.age.value());
    }
    void operator()(const CrashReport &message) const
    {
        peerwire::CrashReport &out = *m_envelope.mutable_crash_report();
        const CrashEvidence *previous = nullptr;
        for (const CrashEvidence &evidence : message.evidence) {
            if (previous == nullptr || !differInPartOnly(*previous, evidence)) {
                peerwire::CrashEvidence &target = *out.add_evidence();
                target.set_crash(evidence.crash.value());
                target.set_attempt_age_ms(evidence.attemptAge.value());
                target.set_crash_age_ms(evidence.crashAge.value());
                target.set_is_known_good(evidence.isKnownGood);
                target.set_is_refuted(evidence.isRefuted);
            }
            out.mutable_evidence(out.evidence_size() - 1)->add_parts(evidence.part.value());
            previous = &evidence;
        }
        out.set_is_complete(message.isComplete);
    }
    void operator()(const PermitRequest &message) const
    {
        peerwire::PermitRequest &out = *m_envelope.mutable_permit_request();
        out.set_sequence(message.sequence);
        out.set_wants_all_limits(message.wantsAllLimits);
        write(message.limits, *out.mutable_limits());
        write(message.wanted, *out.mutable_wanted());
    }
    void operator()(const ConnectionLeases &message) const
    {
        peerwire::ConnectionLeases &out = *m_envelope.mutable_connection_leases();
        out.set_sequence(message.sequence);
        out.set_is_grant(message.isGrant);
        for (const ConnectionLease &lease : message.leases) {
            peerwire::ConnectionLease &target = *out.add_leases();
            target.set_address(lease.server.address);
            target.set_port(lease.server.port);
            target.set_service(lease.service.value());
            target.set_held(lease.held);
            target.set_count(lease.count);
        }
    }
    void operator()(const PermitGrant &message) const
    {
        peerwire::PermitGrant &out = *m_envelope.mutable_permit_grant();
        out.set_sequence(message.sequence);
        write(message.limits, *out.mutable_limits());
        write(message.permits, *out.mutable_permits());
    }
    void operator()(const RolloutReport &message) const
    {
        RolloutCodec::write(message, *m_envelope.mutable_rollout_report());
    }
    void operator()(const RolloutSteps &message) const
    {
        RolloutCodec::write(message, *m_envelope.mutable_rollout_steps());
    }

private:
    peerwire::Envelope &m_envelope;

    template <typename Repeated>
    static void write(const std::vector<ServerRateLimit> &limits, Repeated &out)
    {
        for (const ServerRateLimit &limit : limits) {
            peerwire::ServerRateLimit &target = *out.Add();
            target.set_server(limit.server.value());
            if (limit.rate) {
                target.set_rate(limit.rate->value());
            }
            target.set_age_ms(limit.age.value());
        }
    }
    template <typename Repeated>
    static void write(const std::vector<PermitCount> &permits, Repeated &out)
    {
        for (const PermitCount &permit : permits) {
            peerwire::PermitCount &target = *out.Add();
            target.set_server(permit.server.value());
            target.set_count(permit.count);
        }
    }
};

framework::Result<PeerMessage> read(const peerwire::StageJob &in)
{
    StageJob job;
    job.request = framework::RequestId(in.request());
    job.route = framework::RouteId(in.route());
    for (const peerwire::JobStage &stage : in.stages()) {
        JobStage target;
        target.index = stage.index();
        target.service = framework::ServiceId(stage.service());
        target.after.assign(stage.after().begin(), stage.after().end());
        target.pieces = stage.pieces();
        target.resultSize = framework::Bytes(stage.result_bytes());
        job.stages.push_back(std::move(target));
    }
    job.input = framework::StageInputId(in.input());
    job.objectiveLeft = framework::Milliseconds(in.objective_left_ms());
    job.timeLeft = framework::Milliseconds(in.time_left_ms());
    job.priority = framework::PriorityRank(in.priority());
    job.worth = in.worth();
    job.zone = framework::AvailabilityZoneId(in.zone());
    if (job.request.isEmpty() || job.stages.empty()) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    return PeerMessage(std::move(job));
}

framework::Result<PeerMessage> read(const peerwire::StageJobOutcome &in)
{
    StageJobOutcome outcome;
    outcome.request = framework::RequestId(in.request());
    if (in.status() > static_cast<std::uint32_t>(StageJobStatus::NotCoordinator)) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    outcome.status = static_cast<StageJobStatus>(in.status());
    for (const peerwire::StageResultPlace &place : in.results()) {
        outcome.results.push_back(
            {framework::StageResultId(place.id()), framework::AvailabilityZoneId(place.zone())});
    }
    outcome.retryAfter = framework::Milliseconds(in.retry_after_ms());
    return PeerMessage(std::move(outcome));
}

PeerMessage read(const peerwire::StageResultRelease &in)
{
    StageResultRelease release;
    for (const std::string &result : in.results()) {
        release.results.emplace_back(result);
    }
    return PeerMessage(std::move(release));
}

PeerMessage read(const peerwire::StageHoldings &in)
{
    StageHoldings holdings;
    for (const peerwire::StageHolding &holding : in.holdings()) {
        holdings.holdings.push_back({framework::BackendServerId(holding.server()),
                                     framework::Bytes(holding.held_bytes()), holding.calls()});
    }
    return PeerMessage(std::move(holdings));
}

framework::Result<StateTopic> readTopic(std::uint32_t number)
{
    if (number > static_cast<std::uint32_t>(StateTopic::Daemons)) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    return static_cast<StateTopic>(number);
}

framework::Result<PeerMessage> read(const peerwire::Pong &in)
{
    PeerPong pong;
    if (in.has_ping_sent_ms()) {
        pong.pingSent = framework::TimePoint(in.ping_sent_ms());
    }
    pong.acceptsJobs = in.accepts_jobs();
    pong.uptime = framework::Milliseconds(in.uptime_ms());
    for (const peerwire::TopicDigest &digest : in.digests()) {
        TopicDigest target;
        BOOST_LEAF_ASSIGN(target.topic, readTopic(digest.topic()));
        target.era = framework::StoreEra(digest.era());
        target.lastChangeEnd = framework::LogOffset(digest.changed());
        target.next = framework::LogOffset(digest.next());
        target.age = framework::Milliseconds(digest.age_ms());
        if (digest.has_returned_ms()) {
            target.sinceRecovery = framework::Milliseconds(digest.returned_ms());
            target.outage = framework::Milliseconds(digest.away_ms());
        }
        if (target.age < framework::Milliseconds(0)) {
            return framework::leaf::new_error(ProtocolError::Malformed);
        }
        pong.digests.push_back(target);
    }
    pong.takesRateLimits = in.takes_rate_limits();
    pong.takesRollouts = in.takes_rollouts();
    pong.takesConnectionLeases = in.takes_connection_leases();
    if (in.has_crash_fingerprint()) {
        pong.crashFingerprint = EvidenceFingerprint(in.crash_fingerprint());
    }
    return PeerMessage(std::move(pong));
}

framework::Result<PeerMessage> read(const peerwire::TopicQuery &in)
{
    TopicQuery query;
    BOOST_LEAF_ASSIGN(query.topic, readTopic(in.topic()));
    query.sequence = in.sequence();
    if (in.has_from()) {
        query.from = framework::LogOffset(in.from());
    }
    query.era = framework::StoreEra(in.era());
    return PeerMessage(query);
}

framework::Result<PeerMessage> read(const peerwire::TopicState &in)
{
    TopicState state;
    BOOST_LEAF_ASSIGN(state.topic, readTopic(in.topic()));
    state.sequence = in.sequence();
    state.isComplete = in.is_complete();
    for (const peerwire::TopicRecord &record : in.records()) {
        TopicRecord target{framework::LogOffset(record.offset()), record.key(), {}};
        if (record.has_value()) {
            target.value = record.value();
        }
        if (record.has_last_incarnation() && record.has_last_number()) {
            target.lastVersion = RecordVersion{framework::Incarnation(record.last_incarnation()),
                                               framework::ReportNumber(record.last_number())};
        }
        target.restartsNumbers = record.restarts_numbers();
        state.records.push_back(std::move(target));
    }
    state.next = framework::LogOffset(in.next());
    state.era = framework::StoreEra(in.era());
    state.age = framework::Milliseconds(in.age_ms());
    if (state.age < framework::Milliseconds(0)) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    return PeerMessage(std::move(state));
}

/// Adds the entries of one message of the wire, which are alike but for the part, to the report.
framework::Result<void> read(const peerwire::CrashEvidence &in, CrashReport &report)
{
    CrashEvidence evidence;
    evidence.crash = framework::CrashId(in.crash());
    evidence.attemptAge = framework::Milliseconds(in.attempt_age_ms());
    evidence.crashAge = framework::Milliseconds(in.crash_age_ms());
    evidence.isKnownGood = in.is_known_good();
    evidence.isRefuted = in.is_refuted();
    const auto count = static_cast<std::size_t>(in.parts_size());
    const bool isInRange = evidence.crashAge >= framework::Milliseconds(0)
        && evidence.crashAge <= evidence.attemptAge && evidence.attemptAge <= MaxEvidenceAge;
    if (!isInRange || count == 0 || count > MaxReportedEvidence - report.evidence.size()) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    for (const std::uint64_t part : in.parts()) {
        evidence.part = framework::PromptPartId(part);
        report.evidence.push_back(evidence);
    }
    return {};
}

framework::Result<PeerMessage> read(const peerwire::CrashReport &in)
{
    CrashReport report;
    for (const peerwire::CrashEvidence &evidence : in.evidence()) {
        BOOST_LEAF_CHECK(read(evidence, report));
    }
    report.isComplete = in.is_complete();
    return PeerMessage(std::move(report));
}

template <typename Repeated>
framework::Result<std::vector<ServerRateLimit>> readLimits(const Repeated &in)
{
    std::vector<ServerRateLimit> limits;
    for (const peerwire::ServerRateLimit &each : in) {
        ServerRateLimit limit;
        limit.server = framework::BackendServerId(each.server());
        if (each.has_rate()) {
            limit.rate = framework::RequestRate(each.rate());
        }
        limit.age = framework::Milliseconds(each.age_ms());
        const bool isInRange = limit.age >= framework::Milliseconds(0)
            && limit.age <= MaxRateLimitAge && each.rate() >= 0;
        if (!isInRange || limit.server.isEmpty() || limits.size() == MaxRateLimitEntries) {
            return framework::leaf::new_error(ProtocolError::Malformed);
        }
        limits.push_back(std::move(limit));
    }
    return limits;
}

template <typename Repeated>
framework::Result<std::vector<PermitCount>> readPermits(const Repeated &in)
{
    std::vector<PermitCount> permits;
    for (const peerwire::PermitCount &each : in) {
        if (each.server().empty() || each.count() > MaxPermits
            || permits.size() == MaxRateLimitEntries) {
            return framework::leaf::new_error(ProtocolError::Malformed);
        }
        permits.push_back({framework::BackendServerId(each.server()), each.count()});
    }
    return permits;
}

framework::Result<PeerMessage> read(const peerwire::PermitRequest &in)
{
    PermitRequest request;
    request.sequence = in.sequence();
    request.wantsAllLimits = in.wants_all_limits();
    BOOST_LEAF_ASSIGN(request.limits, readLimits(in.limits()));
    BOOST_LEAF_ASSIGN(request.wanted, readPermits(in.wanted()));
    return PeerMessage(std::move(request));
}

framework::Result<PeerMessage> read(const peerwire::PermitGrant &in)
{
    PermitGrant grant;
    grant.sequence = in.sequence();
    BOOST_LEAF_ASSIGN(grant.limits, readLimits(in.limits()));
    BOOST_LEAF_ASSIGN(grant.permits, readPermits(in.permits()));
    return PeerMessage(std::move(grant));
}

framework::Result<PeerMessage> read(const peerwire::ConnectionLeases &in)
{
    ConnectionLeases leases{in.sequence(), in.is_grant(), {}};
    if (static_cast<std::size_t>(in.leases_size()) > MaxConnectionLeases) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    for (const peerwire::ConnectionLease &lease : in.leases()) {
        if (lease.port() > std::numeric_limits<std::uint16_t>::max()
            || lease.held() > MaxLeasedConnections || lease.count() > MaxLeasedConnections) {
            return framework::leaf::new_error(ProtocolError::Malformed);
        }
        leases.leases.push_back({{lease.address(), static_cast<std::uint16_t>(lease.port())},
                                 framework::ServiceId(lease.service()),
                                 lease.held(),
                                 lease.count()});
    }
    return PeerMessage(std::move(leases));
}

} // namespace

std::string ProtobufPeerCodec::encode(const PeerMessage &message) const
{
    peerwire::Envelope envelope;
    envelope.set_version(PeerProtocolVersion);
    std::visit(EnvelopeWriter(envelope), message);
    return envelope.SerializeAsString();
}

framework::Result<PeerMessage> ProtobufPeerCodec::decode(std::string_view bytes) const
{
    peerwire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    if (envelope.version() != PeerProtocolVersion) {
        return framework::leaf::new_error(ProtocolError::UnknownVersion);
    }
    switch (envelope.body_case()) {
    case peerwire::Envelope::kHello:
        return PeerMessage(PeerHello{
            framework::DaemonId(envelope.hello().daemon()), envelope.hello().takes_crash_reports(),
            envelope.hello().takes_rate_limits(), envelope.hello().takes_rollouts(),
            envelope.hello().takes_connection_leases()});
    case peerwire::Envelope::kPing:
        return PeerMessage(PeerPing{framework::TimePoint(envelope.ping().sent_ms())});
    case peerwire::Envelope::kPong:
        return read(envelope.pong());
    case peerwire::Envelope::kStageJob:
        return read(envelope.stage_job());
    case peerwire::Envelope::kStageJobCancel:
        return PeerMessage(
            StageJobCancel{framework::RequestId(envelope.stage_job_cancel().request())});
    case peerwire::Envelope::kStageJobOutcome:
        return read(envelope.stage_job_outcome());
    case peerwire::Envelope::kStageResultRelease:
        return read(envelope.stage_result_release());
    case peerwire::Envelope::kStageHoldings:
        return read(envelope.stage_holdings());
    case peerwire::Envelope::kTopicQuery:
        return read(envelope.topic_query());
    case peerwire::Envelope::kTopicState:
        return read(envelope.topic_state());
    case peerwire::Envelope::kCrashReport:
        return read(envelope.crash_report());
    case peerwire::Envelope::kPermitRequest:
        return read(envelope.permit_request());
    case peerwire::Envelope::kPermitGrant:
        return read(envelope.permit_grant());
    case peerwire::Envelope::kRolloutReport:
        return RolloutCodec::read(envelope.rollout_report());
    case peerwire::Envelope::kRolloutSteps:
        return RolloutCodec::read(envelope.rollout_steps());
    case peerwire::Envelope::kConnectionLeases:
        return read(envelope.connection_leases());
    case peerwire::Envelope::BODY_NOT_SET:
        break;
    }
    return framework::leaf::new_error(ProtocolError::Malformed);
}

} // namespace lavendertally::protocol
