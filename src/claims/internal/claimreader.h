#pragma once

#include "claims/internal/backoff.h"
#include "framework/result.h"
#include "framework/types/ids.h"
#include "infrastructure/types/streamname.h"

#include <memory>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::infrastructure {
struct LogPage;
}

namespace lavendertally::claims {

class IRecordSink;
struct ClaimContext;

/// Reads one stream from its first retained record, in order and without gaps, while the sink wants
/// more records.
class ClaimReader
{
public:
    ClaimReader(infrastructure::StreamName stream, const ClaimContext &context, IRecordSink &sink);
    ~ClaimReader();

    /// Continues reading unless a read is in flight or scheduled.
    void start();

private:
    using ReadResult = framework::Result<infrastructure::LogPage>;

    void read();
    void finish(ReadResult result);
    void handlePage(const infrastructure::LogPage &page);
    void handleError(ReadResult result);
    void deliver(const std::string &text);
    void scheduleRead(framework::Milliseconds delay);

    infrastructure::StreamName m_stream;
    const ClaimContext &m_context;
    IRecordSink &m_sink;
    Backoff m_backoff;
    framework::LogOffset m_next;
    bool m_reading = false;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Callbacks hold a weak reference, so that answers after destruction are ignored.
    std::shared_ptr<ClaimReader *> m_self;
};

} // namespace lavendertally::claims
