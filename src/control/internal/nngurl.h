#pragma once

#include "framework/types/endpoint.h"

#include <string>

namespace lavendertally::control {

/// \return the URL of \p endpoint for nng
inline std::string nngUrl(const framework::Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return "tcp://" + address + ":" + std::to_string(endpoint.port);
}

} // namespace lavendertally::control
