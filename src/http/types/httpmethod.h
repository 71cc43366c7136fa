#pragma once

namespace lavendertally::http {

enum class HttpMethod
{
    Get,
    Post,
    Delete,
    /// Known by its name only; see HttpRequestHead.
    Other,
};

} // namespace lavendertally::http
