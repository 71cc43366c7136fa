#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "infrastructure/types/logpage.h"
#include "infrastructure/types/streamname.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavendertally::infrastructure {

/// The platform's append-only log. Appends are not conditional: a record's meaning depends on the
/// records before it, which every reader judges alike. Callbacks are called later, once, unless the
/// service is destroyed first.
class ILogService
{
public:
    virtual ~ILogService() = default;

    /// Appends records as one unit, in order.
    /// \param records valid UTF-8 text; anything else throws nlohmann::json::type_error
    /// \param callback gets the offset of the first record, or InfrastructureError, of which
    /// mayHaveTakenEffect() tells whether the records may stand in the log
    virtual void append(const StreamName &stream, std::vector<std::string> records,
                        framework::Milliseconds timeout,
                        std::function<void(framework::Result<framework::LogOffset>)> callback) = 0;

    /// Reads records from \p from on.
    /// \param wait longest time to wait for a first record; less than \p timeout
    /// \param callback gets the page, whose records follow each other from \p from on, or
    /// InfrastructureError; a FirstKept travels beside InfrastructureError::Expired
    virtual void read(const StreamName &stream, framework::LogOffset from, std::uint32_t limit,
                      framework::Milliseconds wait, framework::Milliseconds timeout,
                      std::function<void(framework::Result<LogPage>)> callback) = 0;
};

} // namespace lavendertally::infrastructure
