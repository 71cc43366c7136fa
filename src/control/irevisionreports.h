#pragma once

#include "control/types/revisionreport.h"

#include <vector>

namespace lavendertally::control {

/// Revisions in force in the daemons that this process hears.
class IRevisionReports
{
public:
    virtual ~IRevisionReports() = default;

    /// \return one report for each daemon heard lately, this one included, in order of its id
    virtual std::vector<RevisionReport> reports() const = 0;
};

} // namespace lavendertally::control
