#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

#include <optional>

namespace lavendertally::framework {
class IClock;
}

namespace lavendertally::proxy {

class HeldSources;
class IBackendCall;
class IResponseWriter;

/// Holds a backend server back while the client takes its response more slowly than it arrives, so
/// that what waits for the client stays bounded.
class SourcePacer
{
public:
    /// The arguments outlive this object.
    SourcePacer(const framework::IClock &clock, HeldSources &held, IResponseWriter &response);
    ~SourcePacer();
    SourcePacer(const SourcePacer &) = delete;
    SourcePacer &operator=(const SourcePacer &) = delete;

    /// The response continues from \p source, which outlives sourceEnded().
    void sourceStarted(IBackendCall &source);
    /// The source must not be used any more.
    void sourceEnded();
    /// A part of the response has been written.
    void partWritten(framework::Bytes size);
    /// Nobody reads the response any more; the source may end it without waiting.
    void clientLeft();

    /// \return whether the source is held back now
    bool isHolding() const { return m_heldSince.has_value(); }
    /// \return how long sources were held back in all
    framework::Milliseconds heldTime() const;
    /// \return size of the parts written
    framework::Bytes written() const { return m_written; }

private:
    void release();
    void stopClock();

    const framework::IClock &m_clock;
    HeldSources &m_held;
    IResponseWriter &m_response;
    IBackendCall *m_source = nullptr;
    std::optional<framework::TimePoint> m_heldSince;
    framework::Milliseconds m_heldBefore;
    framework::Bytes m_written;
};

} // namespace lavendertally::proxy
