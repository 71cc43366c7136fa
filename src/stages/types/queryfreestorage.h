#pragma once

#include "membership/types/backendserverentry.h"

namespace lavendertally::stages {

/// Command: ask a backend server how much of its result storage is free.
struct QueryFreeStorage
{
    membership::BackendServerEntry server;
};

} // namespace lavendertally::stages
