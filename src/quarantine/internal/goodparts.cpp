#include "quarantine/internal/goodparts.h"

namespace lavendertally::quarantine {

void GoodParts::record(framework::PromptPartId part, framework::TimePoint now)
{
    auto &byPart = m_entries.get<0>();
    auto &byUse = m_entries.get<1>();
    const auto [entry, isNew] = byPart.insert({part, now});
    if (!isNew) {
        byPart.modify(entry, [now](Entry &changed) { changed.at = now; });
        byUse.relocate(byUse.end(), m_entries.project<1>(entry));
        return;
    }
    if (m_entries.size() > m_capacity) {
        byUse.pop_front();
    }
}

std::optional<framework::TimePoint> GoodParts::lastAnswer(framework::PromptPartId part) const
{
    const auto found = m_entries.get<0>().find(part);
    if (found == m_entries.get<0>().end()) {
        return std::nullopt;
    }
    return found->at;
}

} // namespace lavendertally::quarantine
