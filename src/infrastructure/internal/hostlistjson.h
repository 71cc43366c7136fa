#pragma once

#include "membership/types/hostentry.h"

#include <optional>
#include <string>
#include <vector>

namespace lavendertally::infrastructure {

/// Reads the answer of the host list. A host that stands twice alike counts once.
/// \return nothing if the text has no such form or tells two things of one host
std::optional<std::vector<membership::HostEntry>> decodeHosts(const std::string &text);

} // namespace lavendertally::infrastructure
