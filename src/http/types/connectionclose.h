#pragma once

namespace lavendertally::http {

/// State in which a client's connection ended.
enum class ConnectionClose
{
    Idle,
    InUse,
    /// The server ended it right after it was established, before it answered anything.
    Rejected,
};

} // namespace lavendertally::http
