#pragma once

#include "framework/types/timepoint.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::routing {

class ServiceWork;
struct RequestWork;

/// \param server hash of the id of the backend server
/// \return tokens of the prompt that \p server probably keeps, because calls of this daemon brought
/// them there
double keptByOwnCalls(const ServiceWork &service, const RequestWork &work, std::uint64_t server,
                      framework::TimePoint now);

/// \param home probability with which \p server keeps the shared parts because it is one of the
/// servers to which all daemons send prompts with them
/// \return tokens of the prompt that \p server probably keeps. A part counts only with all parts
/// before it, since servers read a prompt from the first part that is missing.
double keptTokens(const ServiceWork &service, const RequestWork &work, std::uint64_t server,
                  double home, framework::TimePoint now);

/// \param servers number of servers that may get the prompt
/// \return number of servers that should keep the shared parts of the prompt: as large a part of
/// all as these prompts are of the requests
std::size_t homesOf(const ServiceWork &service, const RequestWork &work, std::size_t servers,
                    framework::TimePoint now);

} // namespace lavendertally::routing
