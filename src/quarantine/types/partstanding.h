#pragma once

namespace lavendertally::quarantine {

/// What the evidence says about a prompt part.
enum class PartStanding
{
    Clear,
    /// A backend server crashed while it may have begun an answer with this part, and nothing has
    /// explained the crash yet.
    Suspected,
    /// It crashed backend servers repeatedly; requests with it are refused.
    Blamed,
};

} // namespace lavendertally::quarantine
