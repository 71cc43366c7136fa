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

/// Reads one stream in order, without gaps, from the first record kept, while the sink wants more.
class ClaimReader
{
public:
    ClaimReader(infrastructure::StreamName stream, const ClaimContext &context, IRecordSink &sink);
    ~ClaimReader();

    /// Reads on if nothing is being read.
    void start();

private:
    using ReadResult = framework::Result<infrastructure::LogPage>;

    void read();
    void finish(ReadResult result);
    void handlePage(const infrastructure::LogPage &page);
    void handleError(ReadResult result);
    void takeRecord(const std::string &text);
    void readAgainAfter(framework::Milliseconds delay);

    infrastructure::StreamName m_stream;
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
