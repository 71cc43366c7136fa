#pragma once

#include "retry/types/retryquery.h"

namespace lavendertally::retry {

/// \return whether a retry cannot make the stage take effect twice
inline bool isSafeToRetry(const RetryQuery &query)
{
    return query.idempotent || query.failure == FailureKind::NotRun;
}

} // namespace lavendertally::retry
