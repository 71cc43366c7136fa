#pragma once

#include <string>

namespace lavendertally::framework {

/// Text that tells a person what failed; travels beside an error enum.
struct ErrorContext
{
    std::string message;
};

} // namespace lavendertally::framework
