#pragma once

namespace lavendertally::admission {

/// Order among the items of one rank; see ClassQueue.
enum class QueuePrecedence
{
    /// Work done for the item before would be thrown away.
    Invested,
    /// The client was refused and told to return now.
    Returned,
    Fresh,
    /// The client was told to return later than this.
    Early,
};

} // namespace lavendertally::admission
