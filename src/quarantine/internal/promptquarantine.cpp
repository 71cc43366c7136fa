#include "quarantine/internal/promptquarantine.h"

#include "framework/hash.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lavendertally::quarantine {

namespace {

/// Different times that daemons may add to a blame; a power of two.
constexpr std::int64_t BlameSpreadSteps = 1024;

protocol::CrashEvidence describe(framework::PromptPartId part, framework::CrashId crash,
                                 framework::Milliseconds attemptAge,
                                 framework::Milliseconds crashAge)
{
    protocol::CrashEvidence evidence;
    evidence.part = part;
    evidence.crash = crash;
    evidence.attemptAge = attemptAge;
    evidence.crashAge = crashAge;
    return evidence;
}

} // namespace

PromptQuarantine::PromptQuarantine(framework::ILogger &logger, framework::IMetrics &metrics,
                                   const QuarantineLimits &limits, std::uint64_t seed)
    : m_logger(logger), m_metrics(metrics), m_limits(limits), m_goodParts(limits.maxGoodParts),
      m_blameSpread(static_cast<std::int64_t>(seed) & (BlameSpreadSteps - 1))
{ }

PartAssessment PromptQuarantine::assess(const Parts &parts, framework::TimePoint now) const
{
    PartAssessment worst;
    if (m_observations.empty()) {
        return worst;
    }
    for (const framework::PromptPartId part : parts) {
        const PartAssessment assessment = assessPart(part, parts, now);
        const auto gravity = [](const PartAssessment &each) {
            return std::tuple(each.standing, each.isOnTrial, each.retryAfter);
        };
        if (gravity(assessment) > gravity(worst)) {
            worst = assessment;
        }
    }
    return worst;
}

PartAssessment PromptQuarantine::assessPart(framework::PromptPartId part, const Parts &prompt,
                                            framework::TimePoint now) const
{
    PartAssessment assessment;
    const Charge charge = chargeAgainst(part);
    if (charge.crashes == 0 || now - charge.lastCrash >= lifetime(charge)) {
        return assessment;
    }
    assessment.part = part;
    const framework::Milliseconds age = now - charge.lastCrash;
    const framework::Milliseconds refusalTime = ownBlameTime(charge);
    const bool isRefused = charge.suffices() && age < refusalTime;
    const bool isExplained = isExplainedWithout(prompt, part);
    if (isRefused && !isExplained) {
        assessment.standing = PartStanding::Blamed;
        assessment.retryAfter = refusalTime - age;
        return assessment;
    }
    // Of a part that was good before the crash, other requests of the crash are more suspicious.
    const bool isCleared = charge.wasGood || isExplained || age >= m_limits.suspicionTime;
    if (!charge.suffices() && isCleared) {
        return assessment;
    }
    assessment.standing = PartStanding::Suspected;
    assessment.isOnTrial = m_trials.contains(part);
    assessment.retryAfter = m_limits.trialRetryAfter;
    return assessment;
}

std::pair<PromptQuarantine::Observations::const_iterator,
          PromptQuarantine::Observations::const_iterator>
PromptQuarantine::observationsOf(framework::PromptPartId part) const
{
    constexpr framework::CrashId Last(std::numeric_limits<std::uint64_t>::max());
    return {m_observations.lower_bound({part, framework::CrashId(0)}),
            m_observations.upper_bound({part, Last})};
}

/// Counts the crashes that followed each other: a crash counts if the attempt that was lost in it
/// was sent after the crash before, since backend servers that fail together say nothing about a
/// prompt.
PromptQuarantine::Charge PromptQuarantine::chargeAgainst(framework::PromptPartId part) const
{
    std::vector<Observation> unrefuted;
    const auto [first, end] = observationsOf(part);
    for (auto entry = first; entry != end; ++entry) {
        if (!entry->second.isRefuted) {
            unrefuted.push_back(entry->second);
        }
    }
    std::sort(unrefuted.begin(), unrefuted.end(),
              [](const Observation &left, const Observation &right) {
                  return left.crashed < right.crashed;
              });
    Charge charge;
    charge.crashesToBlame = m_limits.crashesToBlame;
    for (const Observation &observation : unrefuted) {
        if (charge.crashes > 0 && observation.crashed - charge.lastCrash >= lifetime(charge)) {
            charge = {};
            charge.crashesToBlame = m_limits.crashesToBlame;
        }
        if (observation.isKnownGood) {
            charge.wasGood = true;
            charge.crashesToBlame = m_limits.crashesToBlameKnownGood;
        }
        if (charge.crashes == 0 || observation.attemptSent >= charge.lastCrash) {
            ++charge.crashes;
            charge.lastCrash = observation.crashed;
        }
    }
    return charge;
}

/// \return whether a part that \p prompt lacks, and that crashed backend servers repeatedly, was in
/// every crash that counts against \p part
bool PromptQuarantine::isExplainedWithout(const Parts &prompt, framework::PromptPartId part) const
{
    const auto hasOtherCause = [this, &prompt](framework::CrashId crash) {
        return std::any_of(m_observations.begin(), m_observations.end(), [&](const auto &entry) {
            const auto &[otherPart, otherCrash] = entry.first;
            return otherCrash == crash && !entry.second.isRefuted
                && std::find(prompt.begin(), prompt.end(), otherPart) == prompt.end()
                && chargeAgainst(otherPart).suffices();
        });
    };
    const auto [first, end] = observationsOf(part);
    return std::all_of(first, end, [&hasOtherCause](const auto &entry) {
        return entry.second.isRefuted || hasOtherCause(entry.first.second);
    });
}

framework::Milliseconds PromptQuarantine::blameTime(const Charge &charge) const
{
    if (charge.crashes <= charge.crashesToBlame) {
        return m_limits.firstBlameTime;
    }
    const std::uint32_t doublings =
        std::min(charge.crashes - charge.crashesToBlame - 1, m_limits.maxBlameDoublings);
    return m_limits.blameTime * (std::int64_t{1} << doublings);
}

/// How long this daemon refuses a blamed part. Daemons refuse it for different times, so that they
/// try it again one after the other.
framework::Milliseconds PromptQuarantine::ownBlameTime(const Charge &charge) const
{
    const framework::Milliseconds time = blameTime(charge);
    return time + framework::Milliseconds(time.value() * m_blameSpread / BlameSpreadSteps);
}

framework::Milliseconds PromptQuarantine::lifetime(const Charge &charge) const
{
    constexpr std::int64_t RefusalAndProbation = 3;
    return charge.suffices()
        ? std::max(blameTime(charge) * RefusalAndProbation, m_limits.evidenceTime)
        : m_limits.evidenceTime;
}

bool PromptQuarantine::isExpired(const Observations::value_type &entry,
                                 framework::TimePoint now) const
{
    if (entry.second.isRefuted) {
        return now - entry.second.crashed >= m_limits.suspicionTime;
    }
    const Charge charge = chargeAgainst(entry.first.first);
    return now - charge.lastCrash >= lifetime(charge);
}

void PromptQuarantine::beginTrial(const Parts &parts)
{
    for (const framework::PromptPartId part : parts) {
        ++m_trials[part];
    }
}

void PromptQuarantine::endTrial(const Parts &parts)
{
    for (const framework::PromptPartId part : parts) {
        const auto trial = m_trials.find(part);
        if (trial != m_trials.end() && --trial->second == 0) {
            m_trials.erase(trial);
        }
    }
}

void PromptQuarantine::answerBegan(const Parts &parts, framework::TimePoint now)
{
    for (const framework::PromptPartId part : parts) {
        m_goodParts.record(part, now);
        if (m_observations.empty()) {
            continue;
        }
        const auto [first, end] = observationsOf(part);
        std::vector<Observations::value_type> doubted;
        std::copy_if(first, end, std::back_inserter(doubted),
                     [](const auto &entry) { return !entry.second.isRefuted; });
        for (const auto &[key, observation] : doubted) {
            store(key, observation, now);
        }
    }
}

void PromptQuarantine::serverCrashed(const Parts &parts, framework::CrashId crash,
                                     framework::TimePoint attemptSent, framework::TimePoint now)
{
    dropExpired(now);
    for (const framework::PromptPartId part : parts) {
        const auto answered = m_goodParts.lastAnswer(part);
        if (answered && *answered >= attemptSent) {
            continue;
        }
        m_metrics.increment("lavendertally_crash_evidence_total", {{"source", "own"}});
        Observation observation;
        // Of attempts that were lost in one crash, the one that was sent last counts.
        const auto known = m_observations.find({part, crash});
        observation.attemptSent = known == m_observations.end()
            ? attemptSent
            : std::max(attemptSent, known->second.attemptSent);
        observation.crashed = now;
        if (known != m_observations.end()) {
            known->second.attemptSent = observation.attemptSent;
        }
        store({part, crash}, observation, now);
    }
}

PromptQuarantine::Evidence PromptQuarantine::evidence(framework::TimePoint now) const
{
    Evidence all;
    for (const auto &entry : m_observations) {
        if (isExpired(entry, now)) {
            continue;
        }
        const auto &[key, observation] = entry;
        all.push_back(describe(key.first, key.second, now - observation.attemptSent,
                               now - observation.crashed));
        all.back().isKnownGood = observation.isKnownGood;
        all.back().isRefuted = observation.isRefuted;
    }
    return all;
}

std::uint64_t PromptQuarantine::fingerprint(framework::TimePoint now) const
{
    std::uint64_t combined = 0;
    for (const auto &entry : m_observations) {
        if (isExpired(entry, now)) {
            continue;
        }
        const auto &[key, observation] = entry;
        const std::uint64_t flags =
            (observation.isKnownGood ? 1U : 0U) | (observation.isRefuted ? 2U : 0U);
        const std::array<std::uint64_t, 3> values = {key.first.value(), key.second.value(), flags};
        combined ^=
            framework::stableHash({reinterpret_cast<const char *>(values.data()), sizeof(values)});
    }
    return combined;
}

void PromptQuarantine::merge(const Evidence &evidence, framework::TimePoint now)
{
    dropExpired(now);
    constexpr framework::Milliseconds None(0);
    for (const protocol::CrashEvidence &item : evidence) {
        const framework::Milliseconds crashAge = std::max(item.crashAge, None);
        if (crashAge >= m_limits.maxEvidenceAge()) {
            continue;
        }
        Observation observation;
        observation.attemptSent = now - std::max(item.attemptAge, crashAge);
        observation.crashed = now - crashAge;
        observation.isKnownGood = item.isKnownGood;
        observation.isRefuted = item.isRefuted;
        store({item.part, item.crash}, observation, now);
    }
}

void PromptQuarantine::onChange(std::function<void(const protocol::CrashEvidence &)> listener)
{
    m_onChange = std::move(listener);
}

void PromptQuarantine::addOwnKnowledge(const Key &key, Observation &observation) const
{
    const auto answered = m_goodParts.lastAnswer(key.first);
    if (!answered) {
        return;
    }
    if (*answered >= observation.attemptSent) {
        observation.isRefuted = true;
    } else if (observation.crashed - *answered < m_limits.goodTime) {
        observation.isKnownGood = true;
    }
}

void PromptQuarantine::store(const Key &key, Observation observation, framework::TimePoint now)
{
    const PartStanding before = assessPart(key.first, {key.first}, now).standing;
    addOwnKnowledge(key, observation);
    const auto [entry, isNew] = m_observations.try_emplace(key, observation);
    Observation &kept = entry->second;
    const bool isChanged = isNew || (observation.isKnownGood && !kept.isKnownGood)
        || (observation.isRefuted && !kept.isRefuted);
    kept.crashed = std::min(kept.crashed, observation.crashed);
    kept.isKnownGood = kept.isKnownGood || observation.isKnownGood;
    kept.isRefuted = kept.isRefuted || observation.isRefuted;
    if (!isChanged) {
        return;
    }
    protocol::CrashEvidence change =
        describe(key.first, key.second, now - kept.attemptSent, now - kept.crashed);
    change.isKnownGood = kept.isKnownGood;
    change.isRefuted = kept.isRefuted;
    if (isNew && m_observations.size() > m_limits.maxEvidence) {
        dropLeastUseful();
        if (!m_observations.contains(key)) {
            return;
        }
    }
    logStanding(key.first, before, now);
    if (m_onChange) {
        m_onChange(change);
    }
}

void PromptQuarantine::dropExpired(framework::TimePoint now)
{
    std::vector<Key> expired;
    for (const auto &entry : m_observations) {
        if (isExpired(entry, now)) {
            expired.push_back(entry.first);
        }
    }
    for (const Key &key : expired) {
        m_observations.erase(key);
    }
}

/// Refuted evidence goes first, then that of parts that are not blamed, from the crash of which
/// most is known, and the oldest first; all daemons choose alike.
void PromptQuarantine::dropLeastUseful()
{
    std::map<framework::CrashId, std::int64_t> entriesOfCrash;
    for (const auto &entry : m_observations) {
        ++entriesOfCrash[entry.first.second];
    }
    const auto usefulness = [this, &entriesOfCrash](const Observations::value_type &entry) {
        const bool isBlamed = chargeAgainst(entry.first.first).suffices();
        return std::tuple(!entry.second.isRefuted, isBlamed, -entriesOfCrash.at(entry.first.second),
                          entry.second.crashed);
    };
    auto least = m_observations.begin();
    auto leastUsefulness = usefulness(*least);
    for (auto entry = std::next(least); entry != m_observations.end(); ++entry) {
        const auto entryUsefulness = usefulness(*entry);
        if (entryUsefulness < leastUsefulness) {
            least = entry;
            leastUsefulness = entryUsefulness;
        }
    }
    m_observations.erase(least);
}

void PromptQuarantine::logStanding(framework::PromptPartId part, PartStanding before,
                                   framework::TimePoint now) const
{
    const PartStanding after = assessPart(part, {part}, now).standing;
    if (after == before) {
        return;
    }
    const char *event = "prompt part cleared";
    const char *standing = "clear";
    if (after == PartStanding::Suspected) {
        event =
            "prompt part suspected of crashing a backend server; tried by one request at a time";
        standing = "suspected";
    } else if (after == PartStanding::Blamed) {
        event = "prompt part blamed for crashes of backend servers; requests with it are refused";
        standing = "blamed";
    }
    m_logger.info(event,
                  {{"prompt_part", std::to_string(part.value())},
                   {"crashes", std::to_string(chargeAgainst(part).crashes)}});
    m_metrics.increment("lavendertally_prompt_part_standings_total", {{"standing", standing}});
}

} // namespace lavendertally::quarantine
