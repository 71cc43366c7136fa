#pragma once

namespace lavendertally::admission {

/// How a running work item ended.
enum class Completion
{
    Succeeded,
    Failed,
    Cancelled,
};

} // namespace lavendertally::admission
