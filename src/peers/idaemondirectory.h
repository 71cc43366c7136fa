#pragma once

#include "peers/types/daemonaddress.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace lavendertally::peers {

/// The daemons that are up, as far as the platform knows.
class IDaemonDirectory
{
public:
    virtual ~IDaemonDirectory() = default;

    /// \return all daemons, this one too, in an order that all of them agree on: by when each was
    /// first known, so that a new one comes last and a restart changes nothing
    virtual const std::vector<DaemonAddress> &ranking() const = 0;

    /// \return how many daemons share limits that hold for all of them together, at least one
    virtual std::size_t limitSharerCount() const = 0;

    /// \param callback called after each change
    virtual void onChange(std::function<void()> callback) = 0;
};

} // namespace lavendertally::peers
