#pragma once

#include "claims/internal/claimverdict.h"
#include "claims/types/claimrecord.h"
#include "claims/types/claimsettings.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace lavendertally::claims {

/// State of the claims of one stream: a pure function of its records in order. Any two readers
/// that have read to the same offset agree on each key whose request may still be claimed, also
/// when they began at different records, as long as each began before the key's first claim.
class ClaimTable
{
public:
    explicit ClaimTable(const ClaimSettings &settings) : m_settings(settings) { }

    void apply(const ClaimRecord &record);

    ClaimVerdict verdict(const ClaimKey &key, const ClaimId &id) const;

    /// \return the done record that counts, or none
    const StageDone *done(const ClaimKey &key) const;

    /// \return keys remembered
    std::size_t size() const { return m_keys.size(); }

private:
    struct KeyState
    {
        framework::TimePoint issuedAt;
        std::optional<ClaimId> holder;
        std::optional<StageDone> done;
        /// Claims that have been judged or released; a further record of them has no effect.
        std::set<ClaimId> seen;
    };

    void applyRecord(const ClaimMade &made);
    void applyRecord(const StageDone &done);
    void applyRecord(const ClaimReleased &released);
    bool isTimely(const ClaimMade &made) const;
    KeyState &stateOf(const ClaimKey &key, framework::TimePoint issuedAt);
    void dropOutdated();

    ClaimSettings m_settings;
    std::map<ClaimKey, KeyState> m_keys;
    std::set<std::pair<framework::TimePoint, ClaimKey>> m_byIssue;
    /// Latest time of a claim in the records; no local clock, so that all readers drop alike.
    framework::TimePoint m_latestClaim;
};

} // namespace lavendertally::claims
