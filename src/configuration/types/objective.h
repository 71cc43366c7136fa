#pragma once

namespace lavendertally::configuration {

/// What to optimize when the two goals conflict.
enum class Objective
{
    /// Share of requests that are answered within their deadline.
    Attainment,
    /// Cost of the backend servers.
    Cost,
};

} // namespace lavendertally::configuration
