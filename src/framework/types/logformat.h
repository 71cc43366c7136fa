#pragma once

namespace lavendertally::framework {

enum class LogFormat
{
    Text,
    Json,
};

} // namespace lavendertally::framework
