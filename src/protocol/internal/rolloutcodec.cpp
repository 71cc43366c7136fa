#include "protocol/internal/rolloutcodec.h"

#include "protocol/internal/peer.pb.h"
#include "protocol/types/protocolerror.h"

#include <utility>

namespace lavendertally::protocol {

namespace {

/// A rollout that takes longer makes no sense; larger times come from a fault.
constexpr std::int64_t MaxElapsedMs = 30LL * 86400000;

/// Writes the fields that a report and a step of a service have in common.
template <typename Service, typename Target>
void writeService(const Service &service, Target &target)
{
    target.set_service(service.service.value());
    target.set_target(service.target.value());
    target.mutable_order()->set_era(service.order.era.value());
    target.mutable_order()->set_offset(service.order.offset.value());
    target.set_step(static_cast<std::uint32_t>(service.step));
    target.set_elapsed_ms(service.elapsed.value());
}

template <typename Source, typename Service>
framework::Result<void> readService(const Source &in, Service &service)
{
    if (in.service().empty() || in.step() > static_cast<std::uint32_t>(RolloutStep::Completed)
        || in.elapsed_ms() < 0 || in.elapsed_ms() > MaxElapsedMs) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    service.service = framework::ServiceId(in.service());
    service.target = framework::SoftwareVersion(in.target());
    service.order.era = framework::StoreEra(in.order().era());
    service.order.offset = framework::LogOffset(in.order().offset());
    service.step = static_cast<RolloutStep>(in.step());
    service.elapsed = framework::Milliseconds(in.elapsed_ms());
    return {};
}

void writeEvidence(const RolloutEvidence &evidence, peerwire::RolloutEvidence &target)
{
    target.set_route(evidence.route.value());
    target.set_is_target(evidence.isTarget);
    target.set_answers(evidence.answers);
    target.set_failures(evidence.failures);
    for (std::size_t index = 0; index < evidence.times.size(); ++index) {
        if (evidence.times[index] > 0) {
            target.add_times(index);
            target.add_times(evidence.times[index]);
        }
    }
}

framework::Result<RolloutEvidence> readEvidence(const peerwire::RolloutEvidence &in)
{
    RolloutEvidence evidence;
    evidence.route = framework::RouteId(in.route());
    evidence.isTarget = in.is_target();
    evidence.answers = in.answers();
    evidence.failures = in.failures();
    if (in.times_size() % 2 != 0) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    for (int entry = 0; entry < in.times_size(); entry += 2) {
        if (in.times(entry) >= evidence.times.size()) {
            return framework::leaf::new_error(ProtocolError::Malformed);
        }
        evidence.times[in.times(entry)] = in.times(entry + 1);
    }
    return evidence;
}

framework::Result<RolloutServiceReport> readServiceReport(const peerwire::RolloutServiceReport &in)
{
    RolloutServiceReport report;
    BOOST_LEAF_CHECK(readService(in, report));
    if (static_cast<std::size_t>(in.evidence_size()) > MaxRolloutEvidence) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    report.atOldServers = in.at_old_servers();
    report.sent = in.sent();
    report.sentToTarget = in.sent_to_target();
    for (const peerwire::RolloutEvidence &entry : in.evidence()) {
        BOOST_LEAF_AUTO(evidence, readEvidence(entry));
        report.evidence.push_back(evidence);
    }
    return report;
}

} // namespace

void RolloutCodec::write(const RolloutReport &report, peerwire::RolloutReport &target)
{
    target.set_start(report.start);
    for (const RolloutServiceReport &service : report.services) {
        peerwire::RolloutServiceReport &out = *target.add_services();
        writeService(service, out);
        out.set_at_old_servers(service.atOldServers);
        out.set_sent(service.sent);
        out.set_sent_to_target(service.sentToTarget);
        for (const RolloutEvidence &evidence : service.evidence) {
            writeEvidence(evidence, *out.add_evidence());
        }
    }
}

void RolloutCodec::write(const RolloutSteps &steps, peerwire::RolloutSteps &target)
{
    for (const RolloutServiceStep &service : steps.services) {
        writeService(service, *target.add_services());
    }
}

framework::Result<PeerMessage> RolloutCodec::read(const peerwire::RolloutReport &in)
{
    if (static_cast<std::size_t>(in.services_size()) > MaxRolloutServices) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    RolloutReport report;
    report.start = in.start();
    for (const peerwire::RolloutServiceReport &service : in.services()) {
        BOOST_LEAF_AUTO(read, readServiceReport(service));
        report.services.push_back(std::move(read));
    }
    return PeerMessage(std::move(report));
}

framework::Result<PeerMessage> RolloutCodec::read(const peerwire::RolloutSteps &in)
{
    if (static_cast<std::size_t>(in.services_size()) > MaxRolloutServices) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    RolloutSteps steps;
    for (const peerwire::RolloutServiceStep &service : in.services()) {
        RolloutServiceStep step;
        BOOST_LEAF_CHECK(readService(service, step));
        steps.services.push_back(std::move(step));
    }
    return PeerMessage(std::move(steps));
}

} // namespace lavendertally::protocol
