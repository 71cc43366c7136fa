#pragma once

#include "standins/types/fault.h"

#include <optional>
#include <string>

namespace lavendertally::standins {

/// Decides which calls a fault concerns.
class FaultSwitch
{
public:
    void set(const Fault &fault);

    /// Counts one call.
    /// \param path path of the call
    /// \return the mode that applies to it
    FaultMode take(const std::string &path);

    /// \return the mode in force, without counting a call
    FaultMode mode() const { return m_fault.mode; }
    framework::Milliseconds delay() const { return m_fault.delay; }

    /// Reads the body of `POST /faults`.
    /// \return nothing if it is malformed
    static std::optional<Fault> parse(const std::string &body);

private:
    Fault m_fault;
};

} // namespace lavendertally::standins
