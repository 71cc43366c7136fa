#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/permitcount.h"
#include "protocol/types/serverratelimit.h"

#include <functional>
#include <optional>
#include <vector>

namespace lavendertally::ratelimit {

/// Rate limits and permits as daemons exchange them. What was said last of a backend server counts,
/// whoever tells it.
class IRateLimitStore
{
public:
    using Limits = std::vector<protocol::ServerRateLimit>;
    using Permits = std::vector<protocol::PermitCount>;

    virtual ~IRateLimitStore() = default;

    /// \return what is known, limits that have ended too; the newest first
    virtual Limits limits(framework::TimePoint now) const = 0;

    /// \return what is known of \p server
    virtual std::optional<protocol::ServerRateLimit> limit(const framework::BackendServerId &server,
                                                           framework::TimePoint now) const = 0;

    /// Adds what another daemon knows. Changes are handed to the listener like own ones.
    virtual void merge(const Limits &limits, framework::TimePoint now) = 0;

    /// \return permits that were wanted since the last call of this function
    virtual Permits takeWanted(framework::TimePoint now) = 0;

    /// Adds permits that were issued to this daemon.
    /// \param asked when they were asked for; they expire permitLifetime() later
    virtual void addPermits(const Permits &permits, framework::TimePoint asked) = 0;

    /// Forgets what has expired.
    /// \return whether anything is left
    virtual bool expire(framework::TimePoint now) = 0;

    /// \param onChange receives a limit that is new, has changed or has ended, within the call that
    /// causes it
    /// \param onWanted called within each call that wants a permit
    virtual void setListeners(std::function<void(const protocol::ServerRateLimit &)> onChange,
                              std::function<void()> onWanted) = 0;
};

} // namespace lavendertally::ratelimit
