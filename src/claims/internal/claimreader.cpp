#include "claims/internal/claimreader.h"

#include "claims/iclaimrecordcodec.h"
#include "claims/internal/claimcontext.h"
#include "claims/internal/irecordsink.h"
#include "framework/asyncerror.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/types/firstkept.h"

#include <utility>

namespace lavendertally::claims {

using framework::Milliseconds;
using infrastructure::FirstKept;
using infrastructure::LogPage;
using infrastructure::LogRecord;

ClaimReader::ClaimReader(infrastructure::StreamName stream, const ClaimContext &context,
                         IRecordSink &sink)
    : m_stream(std::move(stream)), m_context(context), m_sink(sink),
      m_backoff(context.settings.minBackoff, context.settings.maxBackoff),
      m_self(std::make_shared<ClaimReader *>(this))
{ }

ClaimReader::~ClaimReader() = default;

void ClaimReader::start()
{
    if (!m_reading && !m_timer) {
        read();
    }
}

void ClaimReader::read()
{
    m_reading = true;
    const ClaimSettings &settings = m_context.settings;
    m_context.log.read(m_stream, m_next, settings.maxRecordsPerRead, settings.readWait,
                       settings.callTimeout, [self = std::weak_ptr(m_self)](ReadResult result) {
                           if (const auto reader = self.lock()) {
                               (*reader)->finish(std::move(result));
                           }
                       });
}

void ClaimReader::finish(ReadResult result)
{
    m_reading = false;
    if (!result) {
        handleError(std::move(result));
        return;
    }
    handlePage(*result);
}

void ClaimReader::handlePage(const LogPage &page)
{
    const framework::LogOffset before = m_next;
    for (const LogRecord &record : page.records) {
        if (record.offset != m_next) {
            // The missing record could be the claim that wins, so read again from its offset.
            m_context.metrics.increment("claim_read_gaps_total", {});
            break;
        }
        deliver(record.data);
        m_next = m_next.next();
    }
    if (!m_sink.wantsMore()) {
        m_backoff.reset();
        return;
    }
    if (m_next == before) {
        scheduleRead(m_backoff.next(m_context.random));
        return;
    }
    m_backoff.reset();
    scheduleRead(Milliseconds(0));
}

void ClaimReader::handleError(ReadResult result)
{
    const FirstKept first = framework::errorOf(std::move(result), FirstKept{m_next});
    if (first.offset > m_next) {
        m_next = first.offset;
        m_sink.reset();
        scheduleRead(Milliseconds(0));
        return;
    }
    if (m_sink.wantsMore()) {
        scheduleRead(m_backoff.next(m_context.random));
    }
}

void ClaimReader::deliver(const std::string &text)
{
    const auto record = m_context.codec.decode(text);
    if (!record) {
        m_context.metrics.increment("claim_records_malformed_total", {});
        return;
    }
    m_sink.onRecord(*record);
}

void ClaimReader::scheduleRead(Milliseconds delay)
{
    m_timer = m_context.scheduler.callAfter(delay, [this] {
        m_timer.reset();
        read();
    });
}

} // namespace lavendertally::claims
