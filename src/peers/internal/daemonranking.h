#pragma once

#include "peers/types/daemonaddress.h"
#include "peers/types/daemonregistration.h"

#include <vector>

namespace lavendertally::peers {

/// Orders daemons so that those at the head can bear the tasks that one daemon does for all: by
/// processor capacity, largest first, and within the same capacity by first registration. Answers
/// the load of a deployment in which most daemons have a small part of a core: the coordination of
/// all stages takes more than such a daemon has.
std::vector<DaemonAddress> rankByCapacity(std::vector<DaemonRegistration> registrations);

} // namespace lavendertally::peers
