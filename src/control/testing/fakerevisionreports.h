#pragma once

#include "control/irevisionreports.h"

#include <vector>

namespace lavendertally::control {

/// Returns one fixed report.
class FakeRevisionReports final : public IRevisionReports
{
public:
    std::vector<RevisionReport> reports() const override
    {
        return {{framework::DaemonId("d1"), configuration::DaemonRole::Host,
                 framework::AvailabilityZoneId("z1"), framework::LogOffset(5),
                 framework::Milliseconds(40)}};
    }
};

} // namespace lavendertally::control
