#pragma once

#include "framework/types/ids.h"

namespace lavendertally::host {

/// Hears which configuration revision entries have.
class IEntryListener
{
public:
    virtual ~IEntryListener() = default;

    /// \param sender entry whose stage request carried \p revision
    virtual void onEntryRevision(const framework::DaemonId &sender,
                                 framework::LogOffset revision) = 0;
};

} // namespace lavendertally::host
