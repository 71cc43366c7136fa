#pragma once

#include "claims/internal/backoff.h"
#include "framework/result.h"
#include "framework/types/ids.h"
#include "platform/types/streamname.h"

#include <memory>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::platform {
struct LogPage;
}

namespace lavendertally::claims {

class IRecordSink;
struct ClaimContext;

/// Reads one stream in order, without gaps, from the first record kept, while the sink wants more.
class ClaimReader
{
public:
    ClaimReader(platform::StreamName stream, const ClaimContext &context, IRecordSink &sink);
    ~ClaimReader();

    /// Reads on if nothing is being read.
    void start();

private:
    using ReadResult = framework::Result<platform::LogPage>;

    void read();
    void finish(ReadResult result);
    void handlePage(const platform::LogPage &page);
    void handleError(ReadResult result);
    void takeRecord(const std::string &text);
    void readAgainAfter(framework::Milliseconds delay);

    platform::StreamName m_stream;
    const ClaimContext &m_context;
    IRecordSink &m_sink;
    Backoff m_backoff;
    framework::LogOffset m_next;
    bool m_reading = false;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Expires with this object, so that later answers are ignored.
    std::shared_ptr<ClaimReader *> m_self;
};

} // namespace lavendertally::claims
