#pragma once

#include "demo/types/demouser.h"

#include <vector>

namespace lavendertally::demo {

/// \return the two organisations whose samples are in the repository
std::vector<DemoUser> demoUsers();

} // namespace lavendertally::demo
