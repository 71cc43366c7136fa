#pragma once

namespace lavendertally::localfleet {

enum class FleetError
{
    /// A program could not be started or did not say where it listens.
    StartFailed,
};

} // namespace lavendertally::localfleet
