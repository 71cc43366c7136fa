#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::proxy {

/// Counts the backend servers that are held back for clients that read slowly.
class HeldSources
{
public:
    explicit HeldSources(framework::IMetrics &metrics) : m_metrics(metrics) { }

    void begin();
    /// \param held how long the source was held back
    void end(framework::Milliseconds held);

private:
    void report();

    framework::IMetrics &m_metrics;
    std::int64_t m_count = 0;
};

} // namespace lavendertally::proxy
