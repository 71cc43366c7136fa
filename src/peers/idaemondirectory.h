#pragma once

#include "peers/types/daemonaddress.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace lavendertally::peers {

/// Daemons that are up, according to their registrations with the platform.
class IDaemonDirectory
{
public:
    virtual ~IDaemonDirectory() = default;

    /// \return all daemons, this one included, in the order of PeersModule::rank(), on which all
    /// daemons agree
    virtual const std::vector<DaemonAddress> &ranking() const = 0;

    /// \return number of daemons among which limits that hold for all of them together are divided;
    /// at least one
    virtual std::size_t limitSharerCount() const = 0;

    /// Adds a callback that is called after each change of the directory.
    virtual void onChange(std::function<void()> callback) = 0;
};

} // namespace lavendertally::peers
