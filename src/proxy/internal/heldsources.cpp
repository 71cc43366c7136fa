#include "proxy/internal/heldsources.h"

#include "framework/imetrics.h"

namespace lavendertally::proxy {

void HeldSources::begin()
{
    ++m_count;
    m_metrics.increment("lavendertally_sources_held_back_total", {});
    report();
}

void HeldSources::end(framework::Milliseconds held)
{
    --m_count;
    m_metrics.observe("lavendertally_source_held_back_ms", {}, held);
    report();
}

void HeldSources::report()
{
    m_metrics.setGauge("lavendertally_sources_held_back", {}, m_count);
}

} // namespace lavendertally::proxy
