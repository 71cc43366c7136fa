#include "claims/internal/claimtable.h"

#include <algorithm>

namespace lavendertally::claims {

using framework::Milliseconds;
using framework::TimePoint;

void ClaimTable::apply(const ClaimRecord &record)
{
    std::visit([this](const auto &typed) { applyRecord(typed); }, record);
}

ClaimVerdict ClaimTable::verdict(const ClaimKey &key, const ClaimId &id) const
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || !found->second.seen.contains(id)) {
        return ClaimVerdict::Unseen;
    }
    const KeyState &state = found->second;
    if (state.done) {
        return ClaimVerdict::Done;
    }
    if (!state.holder) {
        return ClaimVerdict::Free;
    }
    return state.holder == id ? ClaimVerdict::Holds : ClaimVerdict::HeldByOther;
}

const StageDone *ClaimTable::done(const ClaimKey &key) const
{
    const auto found = m_keys.find(key);
    const bool isDone = found != m_keys.end() && found->second.done.has_value();
    return isDone ? &*found->second.done : nullptr;
}

void ClaimTable::applyRecord(const ClaimMade &made)
{
    if (!isTimely(made)) {
        return;
    }
    KeyState &state = stateOf(made.key, made.issuedAt);
    const bool isFirstRecord = state.seen.insert(made.id).second;
    if (isFirstRecord && !state.holder && !state.done) {
        state.holder = made.id;
    }
    m_latestClaim = std::max(m_latestClaim, made.madeAt);
    dropOutdated();
}

void ClaimTable::applyRecord(const StageDone &done)
{
    const auto found = m_keys.find(done.key);
    if (found != m_keys.end() && found->second.holder == done.id && !found->second.done) {
        found->second.done = done;
    }
}

void ClaimTable::applyRecord(const ClaimReleased &released)
{
    KeyState &state = stateOf(released.key, released.issuedAt);
    state.seen.insert(released.id);
    if (state.holder == released.id && !state.done) {
        state.holder.reset();
    }
}

bool ClaimTable::isTimely(const ClaimMade &made) const
{
    const Milliseconds age = made.madeAt - made.issuedAt;
    return age <= m_settings.claimWindow && age >= Milliseconds(0) - m_settings.clockSkew;
}

ClaimTable::KeyState &ClaimTable::stateOf(const ClaimKey &key, TimePoint issuedAt)
{
    KeyState &state = m_keys[key];
    m_byIssue.erase({state.issuedAt, key});
    state.issuedAt = std::max(state.issuedAt, issuedAt);
    m_byIssue.emplace(state.issuedAt, key);
    return state;
}

void ClaimTable::dropOutdated()
{
    // A claim that is judged now was made within a window of its issue. One further window covers
    // a claimant whose clock is ahead, so that its record cannot make others forget live keys.
    const Milliseconds kept = m_settings.claimWindow * 2 + m_settings.clockSkew * 2;
    while (!m_byIssue.empty() && m_byIssue.begin()->first + kept < m_latestClaim) {
        m_keys.erase(m_byIssue.begin()->second);
        m_byIssue.erase(m_byIssue.begin());
    }
}

} // namespace lavendertally::claims
