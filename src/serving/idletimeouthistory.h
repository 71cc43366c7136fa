#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <optional>
#include <vector>

namespace lavendertally::serving {

/// The idle timeouts that clients may rely on: the configured one, and each that it replaced, until
/// the replaced one has passed since its replacement.
class IdleTimeoutHistory
{
public:
    /// \param timeout idle timeout of the active configuration from now on
    void set(framework::Milliseconds timeout, framework::TimePoint now);

    /// \return the longest idle timeout that clients may rely on; zero before the first set()
    framework::Milliseconds longest(framework::TimePoint now) const;

private:
    struct Replaced
    {
        framework::Milliseconds timeout;
        framework::TimePoint validUntil;
    };

    void forgetExpired(framework::TimePoint now);
    void add(const Replaced &replaced);

    std::optional<framework::Milliseconds> m_current;
    /// Each is shorter and valid for longer than the one before.
    std::vector<Replaced> m_replaced;
};

} // namespace lavendertally::serving
