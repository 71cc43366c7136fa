#include "proxy/internal/sourcepacer.h"

#include "framework/iclock.h"
#include "proxy/ibackendcall.h"
#include "proxy/internal/heldsources.h"
#include "proxy/iresponsewriter.h"

namespace lavendertally::proxy {

SourcePacer::SourcePacer(const framework::IClock &clock, HeldSources &held,
                         IResponseWriter &response)
    : m_clock(clock), m_held(held), m_response(response)
{
    m_response.onCaughtUp([this] { release(); });
}

SourcePacer::~SourcePacer()
{
    stopClock();
    m_response.onCaughtUp(nullptr);
}

void SourcePacer::sourceStarted(IBackendCall &source)
{
    m_source = &source;
}

void SourcePacer::sourceEnded()
{
    m_source = nullptr;
    stopClock();
}

void SourcePacer::partWritten(framework::Bytes size)
{
    m_written = m_written + size;
    if (m_source == nullptr || m_heldSince || !m_response.isBehind()) {
        return;
    }
    m_heldSince = m_clock.now();
    m_held.begin();
    m_source->pauseReading();
}

void SourcePacer::clientLeft()
{
    release();
}

framework::Milliseconds SourcePacer::heldTime() const
{
    return m_heldSince ? m_heldBefore + (m_clock.now() - *m_heldSince) : m_heldBefore;
}

void SourcePacer::release()
{
    if (!m_heldSince) {
        return;
    }
    stopClock();
    m_source->resumeReading();
}

void SourcePacer::stopClock()
{
    if (!m_heldSince) {
        return;
    }
    const framework::Milliseconds held = m_clock.now() - *m_heldSince;
    m_heldSince.reset();
    m_heldBefore = m_heldBefore + held;
    m_held.end(held);
}

} // namespace lavendertally::proxy
