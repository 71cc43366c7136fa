#pragma once

namespace lavendertally::configuration {

/// What the operator weighs most when the two pull apart.
enum class Objective
{
    Attainment,
    Cost,
};

} // namespace lavendertally::configuration
