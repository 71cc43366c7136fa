#pragma once

#include "claims/internal/claimstatus.h"
#include "claims/types/claimrecord.h"
#include "claims/types/claimsettings.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace lavendertally::claims {

/// State of the claims of one stream, as a deterministic function of its records in order. Two
/// readers that have read up to the same offset agree on every key whose request may still be
/// claimed, even if they started at different records, as long as both started before the first
/// claim of the key.
class ClaimTable
{
public:
    explicit ClaimTable(const ClaimSettings &settings) : m_settings(settings) { }

    /// Applies the next record of the stream.
    void apply(const ClaimRecord &record);

    /// \return status of claim \p id of \p key
    ClaimStatus status(const ClaimKey &key, const ClaimId &id) const;

    /// \return first done record of the claim that held the key, or nullptr
    const StageDone *done(const ClaimKey &key) const;

    /// \return number of keys in the table
    std::size_t size() const { return m_keys.size(); }

private:
    struct KeyState
    {
        framework::TimePoint issuedAt;
        std::optional<ClaimId> holder;
        std::optional<StageDone> done;
        /// Claims whose record or release was applied; a duplicate claim record has no effect.
        std::set<ClaimId> seen;
    };

    void applyRecord(const ClaimMade &made);
    void applyRecord(const StageDone &done);
    void applyRecord(const ClaimReleased &released);
    bool isWithinWindow(const ClaimMade &made) const;
    KeyState &stateOf(const ClaimKey &key, framework::TimePoint issuedAt);
    void removeExpired();

    ClaimSettings m_settings;
    std::map<ClaimKey, KeyState> m_keys;
    std::set<std::pair<framework::TimePoint, ClaimKey>> m_byIssuedAt;
    /// Latest madeAt of the records. Expiry does not use the local clock, so that all readers
    /// remove the same keys.
    framework::TimePoint m_latestClaim;
};

} // namespace lavendertally::claims
