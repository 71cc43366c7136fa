#include "claims/internal/claimservice.h"

#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ischeduler.h"

#include <string>
#include <utility>

namespace lavendertally::claims {

using framework::Milliseconds;
using framework::TimePoint;

namespace {

/// Separates the parts of a key. If ids contain it, two keys may hash alike, which only means that
/// they share a stream.
constexpr char Separator = '\0';

std::string hashInput(const ClaimKey &key)
{
    return key.team.value() + Separator + key.request.value() + Separator + key.stage.value();
}

infrastructure::StreamName streamName(std::uint64_t partition)
{
    constexpr std::size_t MinDigits = 2;
    std::string number = std::to_string(partition);
    number.insert(0, number.size() < MinDigits ? MinDigits - number.size() : 0, '0');
    return infrastructure::StreamName("claims." + number);
}

} // namespace

ClaimService::ClaimService(const ClaimContext &context, std::unique_ptr<IClaimRecordCodec> codec)
    : m_codec(std::move(codec)), m_context(context)
{ }

void ClaimService::claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback)
{
    if (!isWithinWindow(request.issuedAt)) {
        answerLater({ClaimOutcome::TooOld, {}}, std::move(callback));
        return;
    }
    partitionOf(request.key).claim(request, std::move(callback));
}

void ClaimService::recordDone(const ClaimKey &key, const std::string &result)
{
    partitionOf(key).recordDone(key, result);
}

void ClaimService::recordNotRun(const ClaimKey &key)
{
    partitionOf(key).recordNotRun(key);
}

std::size_t ClaimService::unrecordedOutcomes() const
{
    std::size_t count = 0;
    for (const auto &[number, partition] : m_partitions) {
        count += partition.unrecordedOutcomes();
    }
    return count;
}

bool ClaimService::isWithinWindow(TimePoint issuedAt) const
{
    const Milliseconds age = m_context.clock.wallNow() - issuedAt;
    const ClaimSettings &settings = m_context.settings;
    return age <= settings.claimWindow && age >= Milliseconds(0) - settings.clockSkew;
}

void ClaimService::answerLater(ClaimAnswer answer, std::function<void(ClaimAnswer)> callback)
{
    const std::uint64_t id = m_nextTimer++;
    m_timers[id] = m_context.scheduler.callAfter(
        Milliseconds(0), [this, id, answer = std::move(answer), callback = std::move(callback)] {
            const auto timer = m_timers.extract(id);
            callback(answer);
        });
}

ClaimPartition &ClaimService::partitionOf(const ClaimKey &key)
{
    const std::uint64_t partition =
        framework::stableHash(hashInput(key)) % m_context.settings.partitions;
    return m_partitions.try_emplace(partition, streamName(partition), m_context).first->second;
}

} // namespace lavendertally::claims
