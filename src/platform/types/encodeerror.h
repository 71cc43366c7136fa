#pragma once

namespace lavendertally::platform {

enum class EncodeError
{
    /// A piece of a stage with predecessors lacks one of their results.
    InputMissing,
};

} // namespace lavendertally::platform
