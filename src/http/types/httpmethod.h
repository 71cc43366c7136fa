#pragma once

namespace lavendertally::http {

enum class HttpMethod
{
    Get,
    Post,
};

} // namespace lavendertally::http
