#pragma once

namespace lavendertally::proxy {

/// How a call to a backend server ended on the connection.
enum class BackendCallEnd
{
    /// The complete response has arrived.
    Complete,
    /// No part of the request reached the backend server.
    NotSent,
    /// The response is incomplete or missing; the request may have run.
    Broken,
    /// What has arrived is no response in the protocol; the request may have run.
    Malformed,
};

} // namespace lavendertally::proxy
