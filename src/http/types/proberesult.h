#pragma once

namespace lavendertally::http {

/// What an attempt to connect to a server shows.
enum class ProbeResult
{
    /// The connection was established.
    Listening,
    /// The connection was refused: nothing listens at the endpoint.
    NotListening,
    /// Nothing came back in time.
    Silent,
};

} // namespace lavendertally::http
