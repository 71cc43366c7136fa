#include "claims/internal/claimtable.h"

#include <algorithm>

namespace lavendertally::claims {

using framework::Milliseconds;
using framework::TimePoint;

void ClaimTable::apply(const ClaimRecord &record)
{
    std::visit([this](const auto &typed) { applyRecord(typed); }, record);
}

ClaimStatus ClaimTable::status(const ClaimKey &key, const ClaimId &id) const
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || !found->second.seen.contains(id)) {
        return ClaimStatus::NotRead;
    }
    const KeyState &state = found->second;
    if (state.done) {
        return ClaimStatus::Done;
    }
    if (!state.holder) {
        return ClaimStatus::Free;
    }
    return state.holder == id ? ClaimStatus::Holds : ClaimStatus::HeldElsewhere;
}

const StageDone *ClaimTable::done(const ClaimKey &key) const
{
    const auto found = m_keys.find(key);
    const bool isDone = found != m_keys.end() && found->second.done.has_value();
    return isDone ? &*found->second.done : nullptr;
}

void ClaimTable::applyRecord(const ClaimMade &made)
{
    if (!isWithinWindow(made)) {
        return;
    }
    KeyState &state = stateOf(made.key, made.issuedAt);
    const bool isFirstRecord = state.seen.insert(made.id).second;
    if (isFirstRecord && !state.holder && !state.done) {
        state.holder = made.id;
    }
    m_latestClaim = std::max(m_latestClaim, made.madeAt);
    removeExpired();
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

bool ClaimTable::isWithinWindow(const ClaimMade &made) const
{
    const Milliseconds age = made.madeAt - made.issuedAt;
    return age <= m_settings.claimWindow && age >= Milliseconds(0) - m_settings.clockSkew;
}

ClaimTable::KeyState &ClaimTable::stateOf(const ClaimKey &key, TimePoint issuedAt)
{
    KeyState &state = m_keys[key];
    m_byIssuedAt.erase({state.issuedAt, key});
    state.issuedAt = std::max(state.issuedAt, issuedAt);
    m_byIssuedAt.emplace(state.issuedAt, key);
    return state;
}

void ClaimTable::removeExpired()
{
    // A valid claim is made at most one window after its request was issued. Keys are kept for one
    // further window: a claimant whose clock is ahead writes a later madeAt, which must not remove
    // keys that can still be claimed.
    const Milliseconds kept = m_settings.claimWindow * 2 + m_settings.clockSkew * 2;
    while (!m_byIssuedAt.empty() && m_byIssuedAt.begin()->first + kept < m_latestClaim) {
        m_keys.erase(m_byIssuedAt.begin()->second);
        m_byIssuedAt.erase(m_byIssuedAt.begin());
    }
}

} // namespace lavendertally::claims
