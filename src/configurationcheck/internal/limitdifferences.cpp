#include "configurationcheck/internal/differences.h"
#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/internal/limitchange.h"
#include "configurationcheck/types/comparedconfiguration.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace lavendertally::configurationcheck {

namespace {

using serving::ServiceSpec;

EntryPath limitPath(EntryField field)
{
    return {EntrySection::Limits, {}, field, {}, {}};
}

/// Compares limits of which zero means none.
void compareOptional(std::uint32_t before, std::uint32_t after, const std::string &what,
                     const EntryPath &path, FindingList &findings)
{
    if (before != after && (before == 0 || after == 0)) {
        findings.add(before == 0 ? Rule::LimitTightened : Rule::LimitLoosened, path,
                     what
                         + (before == 0 ? " is limited to " + std::to_string(after)
                                        : " is no longer limited to " + std::to_string(before)),
                     Effect::AtOnce);
        return;
    }
    compareLimit(before, after, what, path, Effect::AtOnce, findings);
}

void comparePools(const ServiceSpec &before, const ServiceSpec &after, const EntryPath &path,
                  FindingList &findings)
{
    if (before.stagePool.has_value() != after.stagePool.has_value()) {
        findings.add(Rule::ServiceChanged, path,
                     after.stagePool ? "has a pool for stages now"
                                     : "has no pool for stages any more",
                     Effect::Drains);
        return;
    }
    if (!before.stagePool) {
        return;
    }
    const serving::StagePool &old = *before.stagePool;
    const serving::StagePool &now = *after.stagePool;
    const auto compare = [&](std::int64_t a, std::int64_t b, const char *what) {
        compareLimit(a, b, what, path, Effect::Drains, findings);
    };
    compare(old.slots, now.slots, "calls at once");
    compare(old.queueLimit, now.queueLimit, "calls in the queue");
    compare(old.batchSize, now.batchSize, "pieces in a call");
    compare(old.resultCapacity.value(), now.resultCapacity.value(), "memory for results in bytes");
    compare(old.resultLifetime.value(), now.resultLifetime.value(), "lifetime of results in ms");
    if (old.callOverhead != now.callOverhead || old.pieceTime != now.pieceTime) {
        findings.add(Rule::ServiceChanged, path, "the expected time of calls has changed",
                     Effect::Drains);
    }
}

void compareService(const ServiceSpec &before, const ServiceSpec &after, std::size_t index,
                    FindingList &findings)
{
    const auto path = [index](EntryField field) {
        return EntryPath{EntrySection::Services, index, field, {}, {}};
    };
    compareOptional(before.maxConnections, after.maxConnections, "the number of connections",
                    path(EntryField::MaxConnections), findings);
    compareOptional(before.coldRequestsPerSecond, after.coldRequestsPerSecond,
                    "the rate of requests during a cold start", path(EntryField::ColdLimit),
                    findings);
    comparePools(before, after, path(EntryField::Pool), findings);
    if (before.isModelEngine != after.isModelEngine) {
        findings.add(Rule::ServiceChanged, path(EntryField::None),
                     after.isModelEngine ? "generates text now" : "generates no text any more",
                     Effect::Drains);
    }
}

void compareServices(const ComparedConfiguration &before, const ComparedConfiguration &after,
                     FindingList &findings)
{
    std::unordered_map<framework::ServiceId, const ServiceSpec *> old;
    for (const ServiceSpec &service : before.services) {
        old.emplace(service.id, &service);
    }
    for (std::size_t index = 0; index < after.services.size(); ++index) {
        const ServiceSpec &service = after.services[index];
        const auto known = old.find(service.id);
        if (known == old.end()) {
            findings.add(Rule::ServiceChanged, {EntrySection::Services, index, {}, {}, {}},
                         "service " + service.id.value() + " is new", Effect::AtOnce);
            continue;
        }
        compareService(*known->second, service, index, findings);
        old.erase(known);
    }
    for (const ServiceSpec &service : before.services) {
        if (old.contains(service.id)) {
            findings.add(Rule::ServiceChanged, {EntrySection::Services, {}, {}, {}, {}},
                         "service " + service.id.value() + " is gone", Effect::Drains);
        }
    }
}

} // namespace

void compareLimits(const ComparedConfiguration &before, const ComparedConfiguration &after,
                   FindingList &findings)
{
    const serving::RequestLimits &old = before.limits;
    const serving::RequestLimits &now = after.limits;
    compareLimit(old.maxHeaders.value(), now.maxHeaders.value(), "the size of heads in bytes",
                 limitPath(EntryField::MaxHeaders), Effect::AtOnce, findings);
    compareLimit(old.maxBody.value(), now.maxBody.value(), "the size of bodies in bytes",
                 limitPath(EntryField::MaxBody), Effect::AtOnce, findings);
    compareLimit(old.headerTimeout.value(), now.headerTimeout.value(),
                 "the time to send a request in ms", limitPath(EntryField::HeaderTimeout),
                 Effect::AtOnce, findings);
    // Connections stay open for the longest idle time that clients may still rely on.
    compareLimit(old.idleTimeout.value(), now.idleTimeout.value(), "the idle time in ms",
                 limitPath(EntryField::IdleTimeout),
                 now.idleTimeout < old.idleTimeout ? Effect::Drains : Effect::AtOnce, findings);
    compareServices(before, after, findings);
}

} // namespace lavendertally::configurationcheck
