#pragma once

namespace lavendertally::peers {

/// What is known of a daemon of the ranking when it is decided which ones to link.
struct LinkCandidate
{
    bool isReachable = true;
    /// Whether it takes stage jobs or that is not known yet.
    bool mayTakeJobs = true;
    /// Whether it can tell this daemon the shared state or that is not known yet.
    bool mayBeInformed = true;
};

} // namespace lavendertally::peers
