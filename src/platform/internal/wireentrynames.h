#pragma once

#include "configurationcheck/ientrynames.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::platform {

/// Names the entries of a configuration as the platform's JSON does.
class WireEntryNames final : public configurationcheck::IEntryNames
{
public:
    /// A route's shares as they are written: the position of each in the list; empty if the route
    /// names one service without a list.
    using SharePositions = std::vector<std::size_t>;

    /// Tells how the shares of the next route are written.
    void addRoute(SharePositions shares) { m_shares.push_back(std::move(shares)); }

    std::string pathOf(const configurationcheck::EntryPath &path) const override;

private:
    std::string sharePath(const std::string &entry,
                          const configurationcheck::EntryPath &path) const;

    std::vector<SharePositions> m_shares;
};

} // namespace lavendertally::platform
