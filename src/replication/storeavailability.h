#pragma once

#include "framework/types/timepoint.h"
#include "replication/types/storeoutage.h"

#include <optional>

namespace lavendertally::replication {

/// Tells outages of the store from trouble of this daemon alone: reset connections, refused or late
/// calls, or a pause of the process. In an outage no daemon is answered, so what this one hears
/// from its peers counts like its own calls.
class StoreAvailability
{
public:
    /// A call of this daemon failed or was answered late.
    void noteTrouble() { m_hasTrouble = true; }

    /// The store has answered some daemon.
    /// \param asked when the call that it answered was made
    void noteAnswered(framework::TimePoint asked);

    /// The store has answered a call of this daemon.
    /// \param asked when the call was made
    /// \param now when the answer came
    void noteOwnAnswer(framework::TimePoint asked, framework::TimePoint now);

    /// \return the last outage that has ended
    const std::optional<StoreOutage> &lastOutage() const { return m_lastOutage; }

private:
    /// Whether a call of this daemon has failed or was late since the last that was answered.
    bool m_hasTrouble = false;
    /// Newest instant at which a call was made that the store has answered.
    std::optional<framework::TimePoint> m_answered;
    std::optional<StoreOutage> m_lastOutage;
};

} // namespace lavendertally::replication
