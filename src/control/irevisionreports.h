#pragma once

#include "control/types/revisionreport.h"

#include <vector>

namespace lavendertally::control {

/// Revisions in force in the daemons that this process knows.
class IRevisionReports
{
public:
    virtual ~IRevisionReports() = default;

    /// \return one report for each known daemon, this one included, in order of id
    virtual std::vector<RevisionReport> reports() const = 0;
};

} // namespace lavendertally::control
