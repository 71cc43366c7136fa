#pragma once

namespace lavendertally::standins {

enum class PoolKind
{
    Encode,
    Retrieve,
    Rerank,
};

} // namespace lavendertally::standins
