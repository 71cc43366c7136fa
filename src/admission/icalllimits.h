#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <optional>

namespace lavendertally::admission {

/// Limits the calls of this gateway at a service beyond what its slots tell, for instance by the
/// connections that it may open.
class ICallLimits
{
public:
    virtual ~ICallLimits() = default;

    /// \return calls that this gateway may have in flight at \p service; nothing if not limited
    virtual std::optional<std::uint32_t> maxCalls(const framework::ServiceId &service) const = 0;
};

} // namespace lavendertally::admission
