#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "platform/types/logpage.h"
#include "platform/types/streamname.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavendertally::platform {

/// The platform's append-only log. Appends are not conditional: a record's meaning depends on the
/// records before it, which every reader judges alike.
class ILogService
{
public:
    virtual ~ILogService() = default;

    /// Appends records as one unit, in order.
    /// \param callback gets the offset of the first record, or PlatformError
    virtual void append(const StreamName &stream, std::vector<std::string> records,
                        framework::Milliseconds timeout,
                        std::function<void(framework::Result<framework::LogOffset>)> callback) = 0;

    /// Reads records from \p from on.
    /// \param wait longest time to wait for a first record
    /// \param callback gets the page, or PlatformError
    virtual void read(const StreamName &stream, framework::LogOffset from, std::uint32_t limit,
                      framework::Milliseconds wait, framework::Milliseconds timeout,
                      std::function<void(framework::Result<LogPage>)> callback) = 0;
};

} // namespace lavendertally::platform
