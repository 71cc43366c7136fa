#pragma once

#include "framework/types/endpoint.h"

namespace lavendertally::soak {

/// A port on loopback that the kernel gives to nobody else, so that a process can listen on it
/// again after each start.
class ReservedPort
{
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    const framework::Endpoint &endpoint() const { return m_endpoint; }

private:
    /// Bound but not listening, with address reuse: a listener may share the port.
    int m_socket;
    framework::Endpoint m_endpoint;
};

} // namespace lavendertally::soak
