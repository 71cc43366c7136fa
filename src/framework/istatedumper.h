#pragma once

#include <nlohmann/json_fwd.hpp>

namespace lavendertally::framework {

/// Part of a process that can show its state.
class IStateDumper
{
public:
    virtual ~IStateDumper() = default;

    /// \return the whole state as JSON, for people; its form is not stable
    virtual nlohmann::json dumpState() const = 0;
};

} // namespace lavendertally::framework
