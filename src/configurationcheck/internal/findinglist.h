#pragma once

#include "configurationcheck/ientrynames.h"
#include "configurationcheck/types/finding.h"

#include <string>
#include <utility>
#include <vector>

namespace lavendertally::configurationcheck {

/// Collects findings and names their entries.
class FindingList
{
public:
    explicit FindingList(const IEntryNames &names) : m_names(names) { }

    void add(Rule rule, const EntryPath &path, std::string reason, Effect effect = Effect::None)
    {
        m_findings.push_back({rule, m_names.pathOf(path), std::move(reason), effect});
    }

    std::vector<Finding> take() { return std::move(m_findings); }

private:
    const IEntryNames &m_names;
    std::vector<Finding> m_findings;
};

} // namespace lavendertally::configurationcheck
