#pragma once

#include "framework/types/ids.h"

namespace lavendertally::host {

/// Notified of the configuration revision that each entry has.
class IEntryListener
{
public:
    virtual ~IEntryListener() = default;

    /// A stage request arrived.
    /// \param sender entry that sent it
    /// \param revision configuration revision of that entry
    virtual void onEntryRevision(const framework::DaemonId &sender,
                                 framework::LogOffset revision) = 0;
};

} // namespace lavendertally::host
